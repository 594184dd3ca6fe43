package org.verbenatray.limits;

/**
 * Gives callers that have to come back times one after the other, at the rate at which there is room for them. Used on
 * one thread.
 */
final class RetrySpacing {
    /** The longest time after which a caller is asked to come back; most have little more. */
    private static final long MAX_MILLIS = 3_000;

    /** The rate assumed if this instance may use none: the caller is likely to reach another instance. */
    private static final double OTHER_INSTANCE_RATE = 5;

    private boolean used;

    /** The time given to the last caller, in nanoseconds of the ticker. */
    private long lastNanos;

    /**
     * Returns the time in milliseconds after which the next caller should come back.
     *
     * @param waitMillis the time until there is room for one request
     * @param rate the requests a second for which there is room then, zero if this instance may send none
     */
    long next(long nowNanos, long waitMillis, double rate) {
        double usedRate = rate > 0 ? rate : OTHER_INSTANCE_RATE;
        long earliest = nowNanos + 1_000_000 * (rate > 0 ? Math.min(MAX_MILLIS, waitMillis) : 0);
        long next = used ? Math.max(earliest, lastNanos + (long) (1e9 / usedRate)) : earliest;
        long latest = nowNanos + 1_000_000 * MAX_MILLIS;
        lastNanos = next - latest > 0 ? latest : next;
        used = true;
        return Math.max(1, (lastNanos - nowNanos) / 1_000_000);
    }
}
