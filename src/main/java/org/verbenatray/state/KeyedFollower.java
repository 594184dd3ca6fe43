package org.verbenatray.state;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.log.LogEpoch;
import org.verbenatray.log.OffsetNotRetainedException;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/**
 * Follows a keyed log: lists the newest record of every key once, then polls for changes. Lists again when the log has
 * dropped changes that were not read yet.
 *
 * <p>Not thread-safe: it runs on the thread of its scheduler, and the futures of the log must complete on that thread.
 */
public final class KeyedFollower {
    private static final Logger log = System.getLogger(KeyedFollower.class.getName());

    /** The name of the keyed log in log lines. */
    private final String name;

    private final KeyedLog source;
    private final Listener listener;

    /** Returns the timing of reads; called before each of them, so it may change. */
    private final Supplier<PollTiming> timing;

    /** Paces the calls after failures, with those of the other followers of the store. */
    private final RetryPacer pacer;

    private final Ticker ticker;
    private final Scheduler scheduler;

    /** Shares the reads with other instances; empty if this one reads everything itself. */
    private final Optional<ReadSharing> sharing;

    /** The changes that were read last, to be sent to other instances. */
    private final RecentChanges recentChanges = new RecentChanges();

    /** The offset of the next change to read. */
    private long nextOffset;

    /** When the next changes are read, unless another instance sends them before. */
    private Deadline readFrom;

    /** The number of the current chain of reads; a timer of an earlier one is ignored. */
    private int chain;

    /** The epoch of the log, in which the offset counts. */
    private final LogEpoch epoch;

    /** The number of the current listing; responses to calls of an earlier one are ignored. */
    private int listing;

    /** Whether a read of changes is under way; the next one is scheduled at its end. */
    private boolean reading;

    /** Whether the whole listing was read, so that changes can be applied. */
    private boolean listed;

    /** Whether the last call succeeded. */
    private boolean reachable = true;

    private boolean stopped;

    private KeyedFollower(
            String name,
            KeyedLog source,
            Listener listener,
            Supplier<PollTiming> timing,
            RetryPacer pacer,
            Optional<ReadSharing> sharing,
            Timing time) {
        this.name = name;
        this.source = source;
        this.listener = listener;
        this.timing = timing;
        this.pacer = pacer;
        this.sharing = sharing;
        this.ticker = time.ticker();
        this.scheduler = time.scheduler();
        this.epoch = source.epoch();
        epoch.onRise(this::startAnew);
    }

    /** Starts to follow a keyed log and returns its follower. */
    public static KeyedFollower start(
            String name,
            KeyedLog source,
            Listener listener,
            Supplier<PollTiming> timing,
            RetryPacer pacer,
            Ticker ticker,
            Scheduler scheduler) {
        Timing time = new Timing(ticker, scheduler);
        KeyedFollower follower = new KeyedFollower(name, source, listener, timing, pacer, Optional.empty(), time);
        follower.startListing();
        return follower;
    }

    /** Starts to follow a keyed log whose changes instances send one another. */
    public static KeyedFollower startShared(
            String name,
            KeyedLog source,
            Listener listener,
            RetryPacer pacer,
            ReadSharing sharing,
            Ticker ticker,
            Scheduler scheduler) {
        Timing time = new Timing(ticker, scheduler);
        KeyedFollower follower =
                new KeyedFollower(name, source, listener, sharing::pollTiming, pacer, Optional.of(sharing), time);
        follower.startListing();
        return follower;
    }

    /**
     * Applies changes that another instance has read, so that this instance need not read them; reads at once if they
     * do not follow what is known.
     *
     * @param peerEpoch the epoch in which the offsets count
     * @param from the offset from which on the changes are complete
     * @param to the offset up to which they were read
     * @param changes the records in between that change the state
     */
    public void onPeerChanges(long peerEpoch, long from, long to, List<KeyedLog.Entry> changes) {
        boolean outdated = peerEpoch < epoch.newest() || peerEpoch == epoch.newest() && to < nextOffset;
        if (!listed || stopped || outdated) {
            return;
        }
        if (peerEpoch > epoch.newest() || from > nextOffset) {
            readAtOnce();
            return;
        }
        if (to > nextOffset) {
            recentChanges.clear();
            nextOffset = to;
            changes.forEach(this::applyRecord);
        }
        listener.onCaughtUp();
        readFrom = Deadline.afterMillis(ticker.nanos(), timing.get().intervalMillis());
    }

    /** Stops the follower after the call in progress. */
    public void stop() {
        stopped = true;
    }

    /**
     * Lists everything again, since the log was restored from an older copy and the offset counts no more. What is
     * known stays in force until then.
     */
    private void startAnew() {
        if (!stopped) {
            listener.onRestored();
            startListing();
        }
    }

    /** Starts to list the newest record of every key; calls that are under way are ignored from now on. */
    private void startListing() {
        listing++;
        chain++;
        reading = false;
        listed = false;
        readListing(listing, Optional.empty(), new ArrayList<>());
    }

    /** Reads the pages of a listing after the given key, then passes the whole listing to the listener. */
    private void readListing(int current, Optional<String> after, List<KeyedLog.Entry> entries) {
        if (stopped || current != listing) {
            return;
        }
        source.newestRecords(after).whenComplete((page, failure) -> {
            if (current != listing) {
                return;
            }
            if (failure != null) {
                handleFailure(failure, () -> readListing(current, Optional.empty(), new ArrayList<>()));
                return;
            }
            markReachable();
            if (after.isEmpty()) {
                nextOffset = page.end();
            }
            entries.addAll(page.entries());
            if (page.more() && !page.entries().isEmpty()) {
                readListing(
                        current,
                        Optional.of(
                                page.entries().get(page.entries().size() - 1).key()),
                        entries);
                return;
            }
            applyListing(entries);
            listed = true;
            recentChanges.clear();
            readFrom = Deadline.afterMillis(ticker.nanos(), timing.get().intervalMillis());
            scheduleRead();
        });
    }

    /** Schedules the next read of changes. */
    private void scheduleRead() {
        int current = chain;
        scheduler.runAt(readFrom, () -> readWhenDue(current));
    }

    /** Reads the changes, or waits further if another instance has sent them. */
    private void readWhenDue(int timerChain) {
        if (timerChain != chain) {
            return;
        }
        if (readFrom.hasPassed(ticker.nanos())) {
            readChanges();
        } else {
            scheduleRead();
        }
    }

    /** Reads the changes now, or as soon as the read under way has ended. */
    private void readAtOnce() {
        readFrom = new Deadline(ticker.nanos());
        if (!reading) {
            chain++;
            scheduleRead();
        }
    }

    /** Reads the changes since the last read. */
    private void readChanges() {
        if (stopped) {
            return;
        }
        int current = listing;
        long from = nextOffset;
        readFrom = Deadline.afterMillis(ticker.nanos(), timing.get().intervalMillis());
        reading = true;
        source.changes(from, timing.get().maxWaitMillis()).whenComplete((entries, failure) -> {
            if (current != listing) {
                return;
            }
            reading = false;
            if (failure != null) {
                handleFailure(failure, () -> readChangesOf(current));
                return;
            }
            markReachable();
            applyRead(from, entries);
            listener.onCaughtUp();
            scheduleRead();
        });
    }

    /** Reads the changes after a failure, unless everything is listed again meanwhile. */
    private void readChangesOf(int failedListing) {
        if (failedListing == listing) {
            readChanges();
        }
    }

    /** Applies the records from an offset on, except those that were received meanwhile, and sends on what is new. */
    private void applyRead(long from, List<KeyedLog.Entry> entries) {
        int known = (int) Math.min(entries.size(), Math.max(0, nextOffset - from));
        List<KeyedLog.Entry> changes = entries.subList(known, entries.size()).stream()
                .filter(this::applyRecord)
                .toList();
        long begin = Math.max(from, nextOffset);
        nextOffset = Math.max(nextOffset, from + entries.size());
        sharing.ifPresent(shared -> {
            recentChanges.add(begin, changes);
            shared.publish(epoch.newest(), recentChanges.from(), nextOffset, recentChanges.entries());
        });
    }

    private void applyListing(List<KeyedLog.Entry> entries) {
        try {
            listener.onListing(entries);
        } catch (RuntimeException e) {
            Event.named("listing_not_applied")
                    .with("log", name)
                    .with("records", entries.size())
                    .with("why", e)
                    .log(log, Level.ERROR);
        }
    }

    /** Applies a record; one that the listener cannot process is logged and left, so that the others are applied. */
    private boolean applyRecord(KeyedLog.Entry entry) {
        try {
            return listener.apply(entry);
        } catch (RuntimeException e) {
            Event.named("record_not_applied")
                    .with("log", name)
                    .with("key", entry.key())
                    .with("why", e)
                    .log(log, Level.ERROR);
            return false;
        }
    }

    /** Starts a new listing if changes were dropped, and schedules a retry after any other failure. */
    private void handleFailure(Throwable failure, Runnable retry) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof OffsetNotRetainedException) {
            Event.named("history_dropped")
                    .with("log", name)
                    .with("from", nextOffset)
                    .log(log, Level.INFO);
            startListingSoon();
            return;
        }
        if (reachable) {
            Event.named("log_unreachable")
                    .with("log", name)
                    .with("next", nextOffset)
                    .with("why", cause.getMessage())
                    .log(log, Level.WARNING);
        }
        reachable = false;
        listener.onUnreachable();
        pacer.retryLater(retry);
    }

    /** Lists everything again in a task of its own, unless that has begun meanwhile. */
    private void startListingSoon() {
        int current = listing;
        scheduler.runAt(new Deadline(ticker.nanos()), () -> {
            if (current == listing) {
                startListing();
            }
        });
    }

    /** Records a successful call; logs the end of an outage. */
    private void markReachable() {
        if (!reachable) {
            Event.named("log_reachable")
                    .with("log", name)
                    .with("next", nextOffset)
                    .log(log, Level.INFO);
        }
        reachable = true;
        pacer.recordSuccess();
    }

    /** Receives the records of a keyed log. */
    public interface Listener {
        /** Called with the newest record of every key; replaces all earlier records, so other keys no longer exist. */
        void onListing(List<KeyedLog.Entry> entries);

        /** Called for each changed record, in order of the offsets. */
        void onRecord(KeyedLog.Entry entry);

        /** Applies a changed record and returns whether it changes the state. */
        default boolean apply(KeyedLog.Entry entry) {
            onRecord(entry);
            return true;
        }

        /** Called after each successful read of changes, when all of them were passed on. */
        default void onCaughtUp() {}

        /**
         * Called when the log was restored from an older copy, before it is listed again. The next listing may lack
         * records that were acknowledged and hold ones that were replaced or deleted since.
         */
        default void onRestored() {}

        /** Called after each failed call that will be retried. */
        default void onUnreachable() {}
    }

    /**
     * The timing of reads.
     *
     * @param intervalMillis the time from the start of one read to the start of the next, in milliseconds
     * @param maxWaitMillis the longest time that a read waits for a change, in milliseconds
     */
    public record PollTiming(long intervalMillis, long maxWaitMillis) {}

    /** How instances share the reads of a log. */
    public interface ReadSharing {
        /**
         * Returns the timing of the reads of this instance, from the time when the changes were read or received last.
         */
        PollTiming pollTiming();

        /** Sends changes that this instance has read to the others; see {@link KeyedFollower#onPeerChanges}. */
        void publish(long epoch, long from, long to, List<KeyedLog.Entry> changes);
    }

    /**
     * The clock of a follower.
     *
     * @param ticker the monotonic clock
     * @param scheduler runs tasks at its times
     */
    private record Timing(Ticker ticker, Scheduler scheduler) {}
}
