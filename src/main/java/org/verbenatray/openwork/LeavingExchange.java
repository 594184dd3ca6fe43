package org.verbenatray.openwork;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.verbenatray.datagrams.Datagrams;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Tells other instances which servers have said in a response that they are leaving. Whoever hears of one for the first
 * time tells its own peers, so that the news reaches all instances. Used on one thread.
 */
public final class LeavingExchange {
    /** First in each notice, and in no other kind of datagram on the same port: the boot id of a server. */
    private static final int BOOT = 12;

    private static final int FIRST_BYTE = BOOT << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    /** The number of times that a notice is sent, as datagrams may be lost. */
    private static final int SENDINGS = 3;

    /** The time between two sendings in milliseconds. */
    private static final long REPEAT_MILLIS = 200;

    private static final Logger log = System.getLogger(LeavingExchange.class.getName());

    /** Marks the server with a boot id as leaving; returns false if it is known to leave, or not known at all. */
    private final Predicate<String> marker;

    private final Supplier<Collection<InetSocketAddress>> peers;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    private final Ticker ticker;

    private final Scheduler scheduler;

    private LeavingExchange(
            Predicate<String> marker,
            Supplier<Collection<InetSocketAddress>> peers,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        this.marker = marker;
        this.peers = peers;
        this.sender = sender;
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /**
     * Creates an exchange.
     *
     * @param marker marks the server with a boot id as leaving and returns whether that is news
     * @param peers supplies the instances that are told
     * @param sender sends a datagram to an instance
     * @param ticker the clock
     * @param scheduler runs tasks at its times
     */
    public static LeavingExchange create(
            Predicate<String> marker,
            Supplier<Collection<InetSocketAddress>> peers,
            BiConsumer<InetSocketAddress, byte[]> sender,
            Ticker ticker,
            Scheduler scheduler) {
        return new LeavingExchange(marker, peers, sender, ticker, scheduler);
    }

    /** Returns whether a datagram names leaving servers. */
    public static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Records that the start of a server with the given boot id is leaving, and tells the others if that is news. */
    public void record(String boot) {
        if (marker.test(boot)) {
            send(encode(boot), SENDINGS);
        }
    }

    /** Records the servers that a datagram names; a malformed one is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            decode(datagram).forEach(this::record);
        } catch (IOException e) {
            Event.named("leaving_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    private void send(byte[] datagram, int sendings) {
        peers.get().forEach(peer -> sender.accept(peer, datagram));
        if (sendings > 1) {
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), REPEAT_MILLIS), () -> send(datagram, sendings - 1));
        }
    }

    private static byte[] encode(String boot) {
        return Datagrams.write(out -> {
            out.writeString(BOOT, boot);
        });
    }

    /** Returns the boot ids in a notice; skips fields that a later version may add. */
    private static List<String> decode(byte[] datagram) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(datagram);
        List<String> boots = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == BOOT) {
                boots.add(in.readString());
            } else {
                in.skipField(tag);
            }
        }
        return boots;
    }
}
