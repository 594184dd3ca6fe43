package org.verbenatray.admission;

/** A token bucket that may be overdrawn by one withdrawal. Not thread-safe. */
final class TokenBucket {
    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The tokens added per second. */
    private double ratePerSecond;

    /** The largest number of tokens. */
    private double capacity;

    /** The tokens at the time of the last refill. */
    private double level;

    /** The time of the last refill. */
    private long refilledNanos;

    /** Creates a full bucket. */
    private TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.level = capacity;
        this.refilledNanos = nowNanos;
    }

    /** Returns a full bucket. */
    static TokenBucket full(double ratePerSecond, double capacity, long nowNanos) {
        return new TokenBucket(ratePerSecond, capacity, nowNanos);
    }

    /** Changes rate and capacity and keeps the level within them. */
    void configure(double newRatePerSecond, double newCapacity, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    /** Returns the milliseconds until the bucket holds the given number, zero when it does. */
    double millisUntil(double tokens, long nowNanos) {
        refill(nowNanos);
        if (level >= tokens) {
            return 0;
        }
        return (tokens - level) / ratePerSecond * MILLIS_PER_SECOND;
    }

    /** Takes tokens; the level may become negative. A negative number gives tokens back. */
    void take(double tokens, long nowNanos) {
        refill(nowNanos);
        level = Math.min(capacity, level - tokens);
    }

    /** Adds the tokens of the time that passed. */
    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND;
        level = Math.min(capacity, level + seconds * ratePerSecond);
        refilledNanos = Math.max(refilledNanos, nowNanos);
    }
}
