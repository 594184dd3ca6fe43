package org.verbenatray.admission;

/** Spreads the times at which refused callers come back, so that they use a quarter of the engines' time. */
final class ReturnSchedule {
    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The longest time that a caller is told to wait in milliseconds. */
    private static final double MAX_MILLIS = 300_000;

    /** The part of the engines' time that is kept for returning callers. */
    private static final double RETURN_SHARE = 0.25;

    /** The time until which returns are scheduled. */
    private long scheduledNanos;

    /** Whether any return was scheduled. */
    private boolean used;

    /** Creates an empty schedule. */
    private ReturnSchedule() {}

    /** Returns an empty schedule. */
    static ReturnSchedule create() {
        return new ReturnSchedule();
    }

    /**
     * Returns the time after which a caller should come back in milliseconds.
     *
     * @param earliestMillis the time until there is room for its request
     * @param drainMillis the time in which the engines finish its request, which delays the next caller
     */
    double next(double earliestMillis, double drainMillis, long nowNanos) {
        long earliestNanos = nowNanos + nanos(earliestMillis);
        boolean free = !used || scheduledNanos - earliestNanos < 0;
        long returnNanos = free ? earliestNanos : scheduledNanos;
        long latestNanos = nowNanos + nanos(MAX_MILLIS);
        if (returnNanos - latestNanos >= 0) {
            return MAX_MILLIS;
        }
        used = true;
        scheduledNanos = returnNanos + nanos(drainMillis / RETURN_SHARE);
        return (returnNanos - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns bounded milliseconds as nanoseconds. */
    private static long nanos(double millis) {
        return (long) (Math.min(MAX_MILLIS, millis) * NANOS_PER_MILLI);
    }
}
