package org.verbenatray.time;

/** Token bucket whose level may become negative. Not thread-safe. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double ratePerSecond;

    private double capacity;

    private double level;

    private long lastRefillNanos;

    private TokenBucket(double ratePerSecond, double capacity, long nowNanos) {
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.level = capacity;
        this.lastRefillNanos = nowNanos;
    }

    /** Returns a full bucket. */
    public static TokenBucket full(double ratePerSecond, double capacity, long nowNanos) {
        return new TokenBucket(ratePerSecond, capacity, nowNanos);
    }

    /** Sets rate and capacity, and lowers the level to the new capacity if it is above. */
    public void configure(double newRatePerSecond, double newCapacity, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        capacity = newCapacity;
        level = Math.min(level, capacity);
    }

    /**
     * Returns the milliseconds until the bucket holds the given number of tokens, zero when it does already; infinite
     * when the rate is zero.
     */
    public double millisUntil(double tokens, long nowNanos) {
        refill(nowNanos);
        if (level >= tokens) {
            return 0;
        }
        return (tokens - level) / ratePerSecond * MILLIS_PER_SECOND;
    }

    /** Removes tokens; the level may become negative. A negative number returns tokens, up to the capacity. */
    public void take(double tokens, long nowNanos) {
        refill(nowNanos);
        level = Math.min(capacity, level - tokens);
    }

    private void refill(long nowNanos) {
        double seconds = Math.max(0, nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
        level = Math.min(capacity, level + seconds * ratePerSecond);
        lastRefillNanos = Math.max(lastRefillNanos, nowNanos);
    }
}
