package org.verbenatray.time;

/**
 * A point in monotonic time after which an action is no longer allowed.
 *
 * @param atNanos the point in nanoseconds of the process's {@link Ticker}
 */
public record Deadline(long atNanos) {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns the deadline that lies the given milliseconds after the given time. */
    public static Deadline afterMillis(long nowNanos, long millis) {
        return new Deadline(nowNanos + millis * NANOS_PER_MILLI);
    }

    /** Returns whether the deadline has passed at the given time. */
    public boolean passed(long nowNanos) {
        return nowNanos - atNanos >= 0;
    }

    /** Returns the milliseconds left at the given time, zero when it has passed. */
    public long remainingMillis(long nowNanos) {
        return Math.max(0, (atNanos - nowNanos) / NANOS_PER_MILLI);
    }
}
