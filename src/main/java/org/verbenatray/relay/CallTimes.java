package org.verbenatray.relay;

import org.verbenatray.catalog.Route;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** How long a call has taken, and how long its caller still waits. Used on one thread. */
final class CallTimes {
    private final Ticker ticker;

    private final long receivedNanos;

    private final Route route;

    private final Deadline deadline;

    private final double millisSinceFirstAttempt;

    private CallTimes(RelayContext context, MatchedRequest matched) {
        this.ticker = context.ticker();
        this.receivedNanos = matched.request().receivedNanos();
        this.route = matched.route();
        this.deadline = matched.deadline();
        this.millisSinceFirstAttempt = matched.request()
                .deadline()
                .map(byCaller -> context.firstAttempts()
                        .recordAndEstimateMillis(route.name(), byCaller.remainingMillis(receivedNanos)))
                .orElse(0.0);
    }

    /** Returns the times of a request that was received. */
    static CallTimes of(RelayContext context, MatchedRequest matched) {
        return new CallTimes(context, matched);
    }

    /** Returns when the final response is due. */
    Deadline deadline() {
        return deadline;
    }

    /** Returns whether the final response is overdue. */
    boolean deadlinePassed() {
        return deadline.hasPassed(ticker.nanos());
    }

    /** Returns the time until the deadline in milliseconds. */
    long remainingMillis() {
        return deadline.remainingMillis(ticker.nanos());
    }

    /** Returns the time since the receipt of the request in milliseconds. */
    long elapsedMillis() {
        return (ticker.nanos() - receivedNanos) / 1_000_000;
    }

    /**
     * Returns the time left in milliseconds for the first event: until the caller gives up waiting for it, or until the
     * deadline.
     */
    long remainingFirstEventMillis() {
        return Math.min(remainingMillis(), route.estimatedCallerTimeoutMillis() - elapsedMillis());
    }

    /** Returns the time from receipt in milliseconds after which the caller gives up if it has received no event. */
    long firstEventTimeoutMillis() {
        return Math.min(remainingMillis() + elapsedMillis(), route.estimatedCallerTimeoutMillis());
    }

    /**
     * Returns the estimated time in milliseconds between the caller's first attempt and this one; zero for a first
     * attempt.
     */
    double millisSinceFirstAttempt() {
        return millisSinceFirstAttempt;
    }
}
