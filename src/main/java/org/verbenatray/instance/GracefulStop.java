package org.verbenatray.instance;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.verbenatray.relay.PlannedStop;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;

/** The planned stop of an instance, from the request to stop to the end of the process. Safe for several threads. */
final class GracefulStop implements PlannedStop {
    /** The minimum time between the request to stop and the end in milliseconds, as callers may still connect. */
    private static final long MIN_DRAIN_MILLIS = 2_500;

    /** The time after the request to stop in which new requests are still accepted, in milliseconds. */
    private static final long ACCEPT_WHILE_DRAINING_MILLIS = 2_400;

    /** The time before the end of the grace period at which the process ends by itself, in milliseconds. */
    private static final long DRAIN_RESERVE_MILLIS = 500;

    /** The time before that at which open requests are ended, so that their responses are written, in milliseconds. */
    private static final long END_REQUESTS_RESERVE_MILLIS = 200;

    /** The interval of the check whether draining is complete, in milliseconds. */
    private static final long DRAIN_POLL_MILLIS = 50;

    private final Ticker ticker;

    private final Scheduler scheduler;

    /** The time from which new requests are rejected, null before the request to stop. */
    private volatile Deadline rejectFrom;

    /** When open requests are ended, null before the request to stop. */
    private volatile Deadline endRequestsAt;

    private volatile boolean stopping;

    private GracefulStop(Ticker ticker, Scheduler scheduler) {
        this.ticker = ticker;
        this.scheduler = scheduler;
    }

    /** Creates the stop of an instance that is not to stop yet. */
    static GracefulStop create(Ticker ticker, Scheduler scheduler) {
        return new GracefulStop(ticker, scheduler);
    }

    @Override
    public boolean isStopping() {
        return stopping;
    }

    /** Records that the instance stops, without rejecting requests. */
    void markStopping() {
        stopping = true;
    }

    @Override
    public boolean rejectsRequests() {
        Deadline from = rejectFrom;
        return from != null && from.hasPassed(ticker.nanos());
    }

    @Override
    public boolean leavesTimeFor(long millis) {
        Deadline end = endRequestsAt;
        return end == null || millis < end.remainingMillis(ticker.nanos());
    }

    /**
     * Begins to stop. The future completes when the instance is idle, but not before callers have learned of the stop,
     * and not beyond shortly before the end of the grace period.
     *
     * @param idle returns whether no request is open and all responses are written
     * @param endRequests ends the open requests; called once if there is time left for their responses only
     */
    CompletableFuture<Void> begin(long graceMillis, BooleanSupplier idle, Runnable endRequests) {
        long start = ticker.nanos();
        long latestMillis = graceMillis - DRAIN_RESERVE_MILLIS;
        endRequestsAt = Deadline.afterMillis(start, latestMillis - END_REQUESTS_RESERVE_MILLIS);
        scheduler.runAt(endRequestsAt, endRequests);
        rejectFrom = Deadline.afterMillis(start, ACCEPT_WHILE_DRAINING_MILLIS);
        stopping = true;
        CompletableFuture<Void> done = new CompletableFuture<>();
        Deadline earliest = Deadline.afterMillis(start, MIN_DRAIN_MILLIS);
        Deadline latest = Deadline.afterMillis(start, latestMillis);
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
