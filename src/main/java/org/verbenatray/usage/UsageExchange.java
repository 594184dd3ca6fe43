package org.verbenatray.usage;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Tells the counts of this instance to the instances that may have to report them: a few that all instances derive from
 * the list, and the holder of the duty if it asks. Used on one thread.
 */
public final class UsageExchange {
    /** The time between two notices in milliseconds; an instance that is killed loses no more than this. */
    public static final long INTERVAL_MILLIS = 500;

    /** The number of windows before the current one whose counts are told again. */
    private static final int REPEATED_WINDOWS = 2;

    /** The time for which a holder that has asked is told, in milliseconds. */
    private static final long HOLDER_MILLIS = 5_000;

    private static final Logger log = System.getLogger(UsageExchange.class.getName());

    private final Sender self;

    private final UsageWindows windows;

    private final UsageTotals totals;

    private final SharedClock clock;

    private final Ticker ticker;

    /** The holder that has asked for counts, null if none has. */
    private InetSocketAddress holder;

    private Deadline holderUntil = new Deadline(0);

    private UsageExchange(Sender self, UsageWindows windows, UsageTotals totals, SharedClock clock, Ticker ticker) {
        this.self = self;
        this.windows = windows;
        this.totals = totals;
        this.clock = clock;
        this.ticker = ticker;
    }

    /** Creates an exchange of the given counts, which adds what it receives to the totals. */
    public static UsageExchange create(
            Sender self, UsageWindows windows, UsageTotals totals, SharedClock clock, Ticker ticker) {
        return new UsageExchange(self, windows, totals, clock, ticker);
    }

    /** Returns whether a datagram holds a notice of counts. */
    public static boolean recognizes(byte[] datagram) {
        return UsageNoticeCodec.recognizes(datagram);
    }

    /** Tells the counts of the last windows, and asks for those of the others where this instance needs them. */
    public void tell() {
        long now = clock.millis();
        NavigableMap<Long, Map<String, Integer>> counts = windows.since(windows.windowAt(now) - REPEATED_WINDOWS);
        UsageNotice notice = new UsageNotice(self.instance(), self.incarnation(), now, false, counts, 0);
        totals.apply(notice);
        if (!counts.isEmpty()) {
            byte[] datagram = UsageNoticeCodec.encode(notice);
            receivers().forEach(receiver -> self.send().accept(receiver, datagram));
        }
        if (self.asks().getAsBoolean()) {
            byte[] question = UsageNoticeCodec.encode(
                    new UsageNotice(self.instance(), self.incarnation(), now, true, Map.of(), 0));
            self.everyone().get().forEach(receiver -> self.send().accept(receiver, question));
        }
    }

    /** Receives the counts of another instance, or its question; a malformed datagram is logged and dropped. */
    public void receive(byte[] datagram) {
        try {
            UsageNotice notice = UsageNoticeCodec.decode(datagram);
            if (notice.clockCorrectionMillis() != 0) {
                clock.correct(notice.clockCorrectionMillis());
            } else if (notice.asksForCounts()) {
                self.find().apply(notice.instance()).ifPresent(this::setHolder);
            } else {
                applyCounts(notice);
            }
        } catch (IOException e) {
            Event.named("usage_notice_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
        }
    }

    /** Adds the counts of an instance to the totals, or tells it to correct its time, by which it counts. */
    private void applyCounts(UsageNotice notice) {
        OptionalLong correction = clock.recordTold(notice.instance(), notice.untilMillis());
        if (correction.isEmpty()) {
            totals.apply(notice);
            return;
        }
        UsageNotice told = new UsageNotice(
                self.instance(), self.incarnation(), clock.millis(), false, Map.of(), correction.getAsLong());
        byte[] datagram = UsageNoticeCodec.encode(told);
        self.find().apply(notice.instance()).ifPresent(sender -> self.send().accept(sender, datagram));
    }

    private void setHolder(InetSocketAddress address) {
        holder = address;
        holderUntil = Deadline.afterMillis(ticker.nanos(), HOLDER_MILLIS);
    }

    private Set<InetSocketAddress> receivers() {
        Set<InetSocketAddress> receivers = new LinkedHashSet<>(self.keepers().get());
        if (holder != null && !holderUntil.hasPassed(ticker.nanos())) {
            receivers.add(holder);
        }
        return receivers;
    }

    /**
     * This instance among the others.
     *
     * @param instance its name
     * @param incarnation a number that differs with each start of its process
     * @param keepers supplies the addresses of the other instances that keep all counts
     * @param everyone supplies the addresses of all other instances
     * @param asks returns whether this instance holds the duty and is none of the keepers
     * @param find returns the address of an instance by its name
     * @param send sends a datagram
     */
    public record Sender(
            String instance,
            long incarnation,
            Supplier<Collection<InetSocketAddress>> keepers,
            Supplier<Collection<InetSocketAddress>> everyone,
            BooleanSupplier asks,
            Function<String, Optional<InetSocketAddress>> find,
            BiConsumer<InetSocketAddress, byte[]> send) {}
}
