package org.verbenatray.state;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.verbenatray.log.KeyedLog;
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

    /** The offset of the next change to read. */
    private long nextOffset;

    /** Whether the last call succeeded. */
    private boolean reachable = true;

    private boolean stopped;

    private KeyedFollower(
            String name,
            KeyedLog source,
            Listener listener,
            Supplier<PollTiming> timing,
            RetryPacer pacer,
            Ticker ticker,
            Scheduler scheduler) {
        this.name = name;
        this.source = source;
        this.listener = listener;
        this.timing = timing;
        this.pacer = pacer;
        this.ticker = ticker;
        this.scheduler = scheduler;
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
        KeyedFollower follower = new KeyedFollower(name, source, listener, timing, pacer, ticker, scheduler);
        follower.readListing(Optional.empty(), new ArrayList<>());
        return follower;
    }

    /** Stops the follower after the call in progress. */
    public void stop() {
        stopped = true;
    }

    /** Reads the pages of the listing after the given key, then passes the whole listing to the listener. */
    private void readListing(Optional<String> after, List<KeyedLog.Entry> listed) {
        if (stopped) {
            return;
        }
        source.newestRecords(after).whenComplete((page, failure) -> {
            if (failure != null) {
                handleFailure(failure, () -> readListing(Optional.empty(), new ArrayList<>()));
                return;
            }
            markReachable();
            if (after.isEmpty()) {
                nextOffset = page.end();
            }
            listed.addAll(page.entries());
            if (page.more() && !page.entries().isEmpty()) {
                readListing(
                        Optional.of(
                                page.entries().get(page.entries().size() - 1).key()),
                        listed);
                return;
            }
            listener.onListing(listed);
            scheduler.runAt(Deadline.afterMillis(ticker.nanos(), timing.get().intervalMillis()), this::readChanges);
        });
    }

    /** Reads the changes since the last read. */
    private void readChanges() {
        if (stopped) {
            return;
        }
        Deadline nextRead = Deadline.afterMillis(ticker.nanos(), timing.get().intervalMillis());
        source.changes(nextOffset, timing.get().maxWaitMillis()).whenComplete((entries, failure) -> {
            if (failure != null) {
                handleFailure(failure, this::readChanges);
                return;
            }
            markReachable();
            nextOffset += entries.size();
            entries.forEach(listener::onRecord);
            listener.onCaughtUp();
            scheduler.runAt(nextRead, this::readChanges);
        });
    }

    /** Starts a new listing if changes were dropped, and schedules a retry after any other failure. */
    private void handleFailure(Throwable failure, Runnable retry) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof OffsetNotRetainedException) {
            Event.named("history_dropped")
                    .with("log", name)
                    .with("from", nextOffset)
                    .log(log, Level.INFO);
            scheduler.runAt(new Deadline(ticker.nanos()), () -> readListing(Optional.empty(), new ArrayList<>()));
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

        /** Called after each successful read of changes, when all of them were passed on. */
        default void onCaughtUp() {}

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
}
