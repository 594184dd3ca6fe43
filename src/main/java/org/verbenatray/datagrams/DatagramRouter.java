package org.verbenatray.datagrams;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.verbenatray.telemetry.Event;

/** Passes each datagram of another instance to the receiver of its kind. Used on one thread. */
public final class DatagramRouter {
    private static final Logger log = System.getLogger(DatagramRouter.class.getName());

    private final List<Receiver> receivers = new ArrayList<>();

    /** The first bytes of datagrams of unknown kinds. */
    private final Set<Byte> unknownKinds = new HashSet<>();

    private DatagramRouter() {}

    /** Returns a router without receivers. */
    public static DatagramRouter create() {
        return new DatagramRouter();
    }

    /**
     * Passes datagrams of a further kind to a receiver.
     *
     * @param recognizes returns whether a datagram is of this kind
     * @param receive processes a datagram of this kind
     */
    public void register(Predicate<byte[]> recognizes, Consumer<byte[]> receive) {
        receivers.add(new Receiver(recognizes, receive));
    }

    /** Passes a datagram on; one of an unknown kind, which a later version may send, is logged once and dropped. */
    public void route(byte[] datagram) {
        for (Receiver receiver : receivers) {
            if (receiver.recognizes().test(datagram)) {
                receiver.receive().accept(datagram);
                return;
            }
        }
        logUnknown(datagram);
    }

    private void logUnknown(byte[] datagram) {
        if (datagram.length > 0 && unknownKinds.add(datagram[0])) {
            Event.named("datagram_kind_unknown")
                    .with("kind", datagram[0] & 0xff)
                    .log(log, Level.INFO);
        }
    }

    /**
     * The receiver of one kind of datagram.
     *
     * @param recognizes returns whether a datagram is of this kind
     * @param receive processes a datagram of this kind
     */
    private record Receiver(Predicate<byte[]> recognizes, Consumer<byte[]> receive) {}
}
