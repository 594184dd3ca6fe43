package org.verbenatray.admission;

/** Spreads the retries of rejected callers over time, so that they use a quarter of the engines' capacity. */
final class RetrySchedule {
    private static final double NANOS_PER_MILLI = 1e6;

    private static final double MAX_DELAY_MILLIS = 300_000;

    /** The share of the engines' capacity that is kept for retries. */
    private static final double RETRY_CAPACITY_SHARE = 0.25;

    /** The time until which retries are scheduled; valid if any was. */
    private long scheduledUntilNanos;

    private boolean hasScheduled;

    private RetrySchedule() {}

    /** Returns an empty schedule. */
    static RetrySchedule create() {
        return new RetrySchedule();
    }

    /**
     * Schedules a retry and returns the milliseconds until then. A retry that would be due after the longest delay is
     * not scheduled: its caller gets the longest delay.
     *
     * @param earliestMillis the milliseconds until there is room for the request
     * @param drainMillis the milliseconds in which the engines finish the request, which delay the next retry
     */
    double scheduleDelayMillis(double earliestMillis, double drainMillis, long nowNanos) {
        long earliestNanos = nowNanos + nanos(earliestMillis);
        boolean free = !hasScheduled || scheduledUntilNanos - earliestNanos < 0;
        long retryNanos = free ? earliestNanos : scheduledUntilNanos;
        long latestNanos = nowNanos + nanos(MAX_DELAY_MILLIS);
        if (retryNanos - latestNanos >= 0) {
            return MAX_DELAY_MILLIS;
        }
        hasScheduled = true;
        scheduledUntilNanos = retryNanos + nanos(drainMillis / RETRY_CAPACITY_SHARE);
        return (retryNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the nanoseconds of the given milliseconds, at most the longest delay. */
    private static long nanos(double millis) {
        return (long) (Math.min(MAX_DELAY_MILLIS, millis) * NANOS_PER_MILLI);
    }
}
