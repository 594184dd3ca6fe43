package org.verbenatray.state;

import org.verbenatray.time.Deadline;

/** Limits append calls with a token bucket whose rate may change between calls. Not thread-safe. */
final class AppendRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The capacity of the bucket. */
    private static final double BURST_CALLS = 2;

    /** The number of calls allowed at {@link #refilledAtNanos}. */
    private double tokens = BURST_CALLS;

    /** The time of the last refill, in nanoseconds of the ticker. */
    private long refilledAtNanos;

    AppendRateLimiter(long nowNanos) {
        this.refilledAtNanos = nowNanos;
    }

    /** Refills the bucket at the given rate and removes one token; returns false if there is none. */
    boolean tryAcquire(long nowNanos, double callsPerSecond) {
        double earned = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
        tokens = Math.min(BURST_CALLS, tokens + earned);
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time of the next allowed call at the given rate, as of the last {@link #tryAcquire}. */
    Deadline nextCallAt(double callsPerSecond) {
        double waitNanos = Math.max(0, 1 - tokens) / callsPerSecond * NANOS_PER_SECOND;
        return new Deadline(refilledAtNanos + (long) Math.ceil(waitNanos));
    }
}
