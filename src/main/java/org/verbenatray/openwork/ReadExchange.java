package org.verbenatray.openwork;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.verbenatray.datagrams.Datagrams;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.state.KeyedFollower.PollTiming;
import org.verbenatray.telemetry.Event;

/**
 * Shares the reads of one keyed log among the instances of a group: the first in its order reads at the full pace and
 * sends the others what has changed; another one reads by itself if it has received nothing for longer than its turn.
 * Used on one thread.
 */
public final class ReadExchange implements KeyedFollower.ReadSharing {
    /** The age of what is known at which another instance reads, as a multiple of the full pace. */
    private static final double TURN_FACTOR = 1.25;

    /** The time by which each further instance waits longer, in milliseconds. */
    private static final long TURN_STEP_MILLIS = 40;

    /** The largest number of steps, which keeps the latest turn well within twice the full pace. */
    private static final int MAX_STEPS = 6;

    /** The largest notice that is sent in one datagram, in bytes. */
    private static final int MAX_BYTES = 8_000;

    /** First in each notice, and in no other kind of datagram on the same port. The field holds the first offset. */
    private static final int FROM = 13;

    private static final int TO = 2;

    /** The name of the log. */
    private static final int LOG = 5;

    private static final int KEY = 3;

    /** The value of the last key; missing if the key was deleted. */
    private static final int VALUE = 4;

    /** The epoch in which the offsets count; missing in notices of earlier versions. */
    private static final int EPOCH = 6;

    private static final int FIRST_BYTE = FROM << 3 | WireFormat.WIRETYPE_VARINT;

    private static final Logger log = System.getLogger(ReadExchange.class.getName());

    private final String name;

    private final Pace pace;

    /** Returns the place of this instance in the order of readers. */
    private final IntSupplier place;

    private final Supplier<Collection<InetSocketAddress>> receivers;

    private final BiConsumer<InetSocketAddress, byte[]> sender;

    /**
     * Creates an exchange.
     *
     * @param name the name of the log, which distinguishes its notices from those of other logs
     * @param pace the pace of the reads
     * @param place returns the place of this instance in the order of readers
     * @param receivers returns the addresses of the others of the group
     * @param sender sends a datagram
     */
    public ReadExchange(
            String name,
            Pace pace,
            IntSupplier place,
            Supplier<Collection<InetSocketAddress>> receivers,
            BiConsumer<InetSocketAddress, byte[]> sender) {
        this.name = name;
        this.pace = pace;
        this.place = place;
        this.receivers = receivers;
        this.sender = sender;
    }

    /** Returns whether a datagram holds changes of a log, or a part of them. */
    public static boolean recognizes(byte[] datagram) {
        return PartedNotice.recognizes(datagram) || Datagrams.beginsWith(datagram, FIRST_BYTE);
    }

    @Override
    public PollTiming pollTiming() {
        long paceMillis = pace.millis().getAsLong();
        int position = place.getAsInt();
        if (position == 0) {
            return pace.waiting()
                    ? new PollTiming(pace.minIntervalMillis(), paceMillis)
                    : new PollTiming(paceMillis, 0);
        }
        long turnMillis = (long) (paceMillis * TURN_FACTOR) + TURN_STEP_MILLIS * Math.min(MAX_STEPS, position - 1);
        return new PollTiming(turnMillis, 0);
    }

    @Override
    public void publish(long epoch, long from, long to, List<KeyedLog.Entry> changes) {
        List<byte[]> datagrams = datagrams(epoch, from, to, changes);
        receivers.get().forEach(address -> datagrams.forEach(datagram -> sender.accept(address, datagram)));
    }

    /** Returns the datagrams that tell the changes; if these are too large, only that there are some. */
    private List<byte[]> datagrams(long epoch, long from, long to, List<KeyedLog.Entry> changes) {
        byte[] whole = encode(epoch, from, to, changes);
        if (whole.length <= MAX_BYTES) {
            return List.of(whole);
        }
        List<byte[]> parts = PartedNotice.split(whole);
        return parts.isEmpty() ? List.of(encode(epoch, to, to, List.of())) : parts;
    }

    private static void apply(byte[] notice, Function<String, Optional<KeyedFollower>> followers) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(notice);
        String logName = "";
        long epoch = 0;
        long from = 0;
        long to = 0;
        List<KeyedLog.Entry> changes = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case FROM -> from = in.readUInt64();
                case TO -> to = in.readUInt64();
                case LOG -> logName = in.readString();
                case KEY -> changes.add(new KeyedLog.Entry(in.readString(), Optional.empty()));
                case EPOCH -> epoch = in.readUInt64();
                case VALUE -> setLastValue(changes, in.readBytes());
                default -> in.skipField(tag);
            }
        }
        Optional<KeyedFollower> follower = followers.apply(logName);
        if (follower.isPresent()) {
            follower.get().onPeerChanges(epoch, from, to, changes);
        }
    }

    private static void setLastValue(List<KeyedLog.Entry> changes, ByteString value) throws IOException {
        if (changes.isEmpty()) {
            throw new IOException("a value without a key");
        }
        int last = changes.size() - 1;
        changes.set(last, new KeyedLog.Entry(changes.get(last).key(), Optional.of(value.toByteArray())));
    }

    private byte[] encode(long epoch, long from, long to, List<KeyedLog.Entry> changes) {
        return Datagrams.write(out -> {
            out.writeUInt64(FROM, from);
            out.writeUInt64(TO, to);
            out.writeString(LOG, name);
            out.writeUInt64(EPOCH, epoch);
            for (KeyedLog.Entry change : changes) {
                out.writeString(KEY, change.key());
                if (change.value().isPresent()) {
                    out.writeByteArray(VALUE, change.value().get());
                }
            }
        });
    }

    /** Receives the datagrams of the reads of all logs. Used on one thread. */
    public static final class Receiver {
        /** Returns the follower of a log by its name. */
        private final Function<String, Optional<KeyedFollower>> followers;

        private final PartedNotice parts = PartedNotice.receiver();

        private Receiver(Function<String, Optional<KeyedFollower>> followers) {
            this.followers = followers;
        }

        /** Creates a receiver that passes changes to the follower of their log, found by the name of the log. */
        public static Receiver create(Function<String, Optional<KeyedFollower>> followers) {
            return new Receiver(followers);
        }

        /** Passes the changes in a datagram to the follower of its log; a malformed one is logged and dropped. */
        public void receive(byte[] datagram) {
            try {
                Optional<byte[]> notice =
                        PartedNotice.recognizes(datagram) ? parts.receive(datagram) : Optional.of(datagram);
                if (notice.isPresent()) {
                    apply(notice.get(), followers);
                }
            } catch (IOException e) {
                Event.named("read_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
            }
        }
    }

    /**
     * The pace of the reads of the first instance.
     *
     * @param millis the time between two reads, or for which each waits, in milliseconds
     * @param waiting whether a read waits for changes, for logs that change rarely
     * @param minIntervalMillis the time between two reads that wait for changes and find some, in milliseconds
     */
    public record Pace(LongSupplier millis, boolean waiting, long minIntervalMillis) {
        /** Returns the pace of reads at a regular interval in milliseconds. */
        public static Pace regular(LongSupplier millis) {
            return new Pace(millis, false, 0);
        }

        /** Returns the pace of reads that wait for changes. */
        public static Pace waiting(LongSupplier millis, long minIntervalMillis) {
            return new Pace(millis, true, minIntervalMillis);
        }
    }
}
