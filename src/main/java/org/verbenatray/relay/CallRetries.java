package org.verbenatray.relay;

import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.time.Deadline;

/** Decides whether the request of one call is sent again, now or shortly. Used on one thread. */
final class CallRetries {
    /** Time after which a request looks again for a server or a retry. */
    private static final long RECHECK_INTERVAL_MILLIS = 100;

    /** Time for which a request that may have run and has no response waits for a server. */
    private static final long MAX_UNSTARTED_WAIT_MILLIS = 600;

    private final RelayContext context;
    private final RelayCall call;
    private final CallAttempts attempts;

    /** Until when a request without a response waits for a server, null before it waits. */
    private Deadline waitsUntil;

    private CallRetries(RelayContext context, RelayCall call, CallAttempts attempts) {
        this.context = context;
        this.call = call;
        this.attempts = attempts;
    }

    /** Returns the retries of a call. */
    static CallRetries of(RelayContext context, RelayCall call, CallAttempts attempts) {
        return new CallRetries(context, call, attempts);
    }

    /**
     * Returns whether the request may be sent to another server; not if its caller may have left. Spends a retry from
     * the budget if an earlier attempt may have reached a server.
     */
    boolean tryReserve() {
        return !call.response().inputEnded() && attempts.tryReserveAttempt();
    }

    /**
     * Returns whether the request may be sent once more to a server that has answered it, which adds no server to those
     * that the route allows. Spends a retry from the budget.
     */
    boolean tryReserveRepeat(Backend server) {
        return !call.response().inputEnded() && call.servers().usable().contains(server) && attempts.tryHoldRetry();
    }

    /**
     * Schedules a task that looks again for a server, and returns true; returns false if the request should be given up
     * at once. A begun response waits until its deadline, since it can only be cut. Another request that may have run
     * waits briefly: its caller may soon ask again.
     */
    boolean continueLater(Runnable task) {
        long now = context.ticker().nanos();
        if (waitsUntil == null) {
            waitsUntil = Deadline.afterMillis(now, MAX_UNSTARTED_WAIT_MILLIS);
        }
        boolean waits = call.response().started() || attempts.mayHaveRun() && !waitsUntil.hasPassed(now);
        return waits && attempts.attemptsLeft() && lookAgain(task);
    }

    /**
     * Schedules a task that tries again to repeat the request to a server that cannot take it now, and returns true.
     * Returns false if it should not wait for that server: the caller has no part of a response, another server may be
     * asked, or this one is leaving.
     */
    boolean repeatLater(Backend server, Runnable task) {
        return call.response().started()
                && !attempts.attemptsLeft()
                && call.servers().lists(server)
                && lookAgain(task);
    }

    private boolean lookAgain(Runnable task) {
        if (call.times().deadlinePassed()) {
            return false;
        }
        attempts.releaseRetry();
        context.thread().executeAfter(call.guard().wrap(task), RECHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return true;
    }
}
