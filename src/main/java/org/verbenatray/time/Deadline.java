package org.verbenatray.time;

/**
 * A point in monotonic time, such as the end of a timeout or of a lease.
 *
 * @param atNanos the time in nanoseconds of the process's {@link Ticker}
 */
public record Deadline(long atNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns the deadline the given number of milliseconds after the given time. */
    public static Deadline afterMillis(long nowNanos, long millis) {
        return new Deadline(nowNanos + millis * NANOS_PER_MILLI);
    }

    /** Returns whether the deadline has been reached at the given time. */
    public boolean hasPassed(long nowNanos) {
        return nowNanos - atNanos >= 0;
    }

    /** Returns the whole milliseconds left at the given time, zero if the deadline has passed. */
    public long remainingMillis(long nowNanos) {
        return Math.max(0, (atNanos - nowNanos) / NANOS_PER_MILLI);
    }
}
