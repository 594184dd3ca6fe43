package org.verbenatray.instance;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/** The planned stop of an instance, from the request to stop to the end of the process. Safe for several threads. */
final class GracefulStop {
    /** The minimum time between the request to stop and the end in milliseconds, as callers may still connect. */
    private static final long MIN_DRAIN_MILLIS = 2_500;

    /** The time after the request to stop in which new requests are still accepted, in milliseconds. */
    private static final long ACCEPT_WHILE_DRAINING_MILLIS = 2_400;

    /** The time before the end of the grace period at which the process ends by itself, in milliseconds. */
    private static final long DRAIN_RESERVE_MILLIS = 500;

    /** The interval of the check whether draining is complete, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 50;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The time from which new requests are rejected, null before the request to stop. */
    private volatile Deadline rejectFrom;

    private volatile boolean stopping;

    private GracefulStop(Ticker ticker, Scheduler scheduler) {
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Creates the stop of an instance that is not to stop yet. */
    static GracefulStop create(Ticker ticker, Scheduler scheduler) {
        return new GracefulStop(ticker, scheduler);
    }

    /** Returns whether the instance was asked to stop. */
    boolean isStopping() {
        return stopping;
    }

    /** Records that the instance stops, without rejecting requests. */
    void markStopping() {
        stopping = true;
    }

    /** Returns whether new requests are rejected because they might not finish before the process ends. */
    boolean rejectsRequests() {
        Deadline from = rejectFrom;
        return from != null && from.hasPassed(ticker.nanos());
    }

    /**
     * Begins to stop. The future completes when the instance is idle, but not before callers have learned of the stop,
     * and not beyond shortly before the end of the grace period.
     */
    CompletableFuture<Void> begin(long graceMillis, BooleanSupplier idle) {
        long start = ticker.nanos();
        rejectFrom = Deadline.afterMillis(start, ACCEPT_WHILE_DRAINING_MILLIS);
        stopping = true;
        CompletableFuture<Void> done = new CompletableFuture<>();
        Deadline earliest = Deadline.afterMillis(start, MIN_DRAIN_MILLIS);
        Deadline latest = Deadline.afterMillis(start, graceMillis - DRAIN_RESERVE_MILLIS);
        pollUntilIdle(earliest, latest, idle, done);
        return done;
    }

    private void pollUntilIdle(Deadline earliest, Deadline latest, BooleanSupplier idle, CompletableFuture<Void> done) {
        long now = ticker.nanos();
        if (latest.hasPassed(now) || earliest.hasPassed(now) && idle.getAsBoolean()) {
            done.complete(null);
            return;
        }
        scheduler.runAt(
                Deadline.afterMillis(now, DRAIN_POLL_MILLIS), () -> pollUntilIdle(earliest, latest, idle, done));
    }
}
