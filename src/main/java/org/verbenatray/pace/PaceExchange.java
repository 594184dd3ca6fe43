package org.verbenatray.pace;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.verbenatray.datagrams.Datagrams;
import org.verbenatray.telemetry.Event;

/** Sends what this instance learns of the pace of servers to the others of its group, and receives theirs. */
public final class PaceExchange {
    /** First in each notice, and in no other kind of datagram on the same port: the boot id of a server. */
    private static final int BOOT = 8;

    private static final int KIND = 2;

    private static final int SHARE = 3;

    private static final int FIRST_BYTE = BOOT << 3 | WireFormat.WIRETYPE_LENGTH_DELIMITED;

    private static final Logger log = System.getLogger(PaceExchange.class.getName());

    private final Supplier<Collection<InetSocketAddress>> receivers;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    private PaceExchange(
            Supplier<Collection<InetSocketAddress>> receivers, BiConsumer<InetSocketAddress, byte[]> sender) {
        this.receivers = receivers;
        this.sender = sender;
    }

    /** Creates an exchange with the given instances. */
    public static PaceExchange create(
            Supplier<Collection<InetSocketAddress>> receivers, BiConsumer<InetSocketAddress, byte[]> sender) {
        return new PaceExchange(receivers, sender);
    }

    /** Returns whether a datagram holds a notice. */
    public static boolean recognizes(byte[] datagram) {
        return Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    /** Sends a notice; one that is lost is made up for by the next, or by time. */
    public void send(PaceNotice notice) {
        Event.named("server_pace")
                .with("backend", notice.boot())
                .with("learned", notice.kind())
                .with("share", String.format(Locale.ROOT, "%.2f", notice.share()))
                .log(log, Level.INFO);
        byte[] datagram = encode(notice);
        receivers.get().forEach(receiver -> sender.accept(receiver, datagram));
    }

    /** Passes the notice in a datagram to the consumer; a malformed one is logged and dropped. */
    public static void receive(byte[] datagram, Consumer<PaceNotice> consumer) {
        try {
            consumer.accept(decode(datagram));
        } catch (IOException e) {
            Event.named("pace_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    /** Encodes a notice. */
    static byte[] encode(PaceNotice notice) {
        return Datagrams.write(out -> {
            out.writeString(BOOT, notice.boot());
            out.writeUInt32(KIND, notice.kind().ordinal());
            out.writeDouble(SHARE, notice.share());
        });
    }

    /** Decodes a notice; fails if it is malformed. */
    static PaceNotice decode(byte[] datagram) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(datagram);
        String boot = "";
        int kind = -1;
        double share = 1;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case BOOT -> boot = in.readString();
                case KIND -> kind = in.readUInt32();
                case SHARE -> share = in.readDouble();
                default -> in.skipField(tag);
            }
        }
        if (kind < 0 || kind >= PaceNotice.Kind.values().length || !(share > 0 && share <= 1)) {
            throw new IOException("a notice of kind " + kind + " with the share " + share);
        }
        return new PaceNotice(boot, PaceNotice.Kind.values()[kind], share);
    }
}
