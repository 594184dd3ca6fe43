package org.verbenatray.state;

import org.verbenatray.time.Deadline;

/** A token bucket for append calls whose rate may change between uses. */
final class AppendBudget {
    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The largest number of calls that may follow each other at once. */
    private static final double BURST_CALLS = 2;

    /** The calls that are allowed now. */
    private double tokens = BURST_CALLS;

    /** The time at which {@link #tokens} was computed. */
    private long atNanos;

    /** Creates a full bucket. */
    AppendBudget(long nowNanos) {
        this.atNanos = nowNanos;
    }

    /** Takes one call if the budget allows it. */
    boolean take(long nowNanos, double callsPerSecond) {
        double earned = (nowNanos - atNanos) / NANOS_PER_SECOND * callsPerSecond;
        tokens = Math.min(BURST_CALLS, tokens + earned);
        atNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns when the next call is allowed at the given rate, as of the last {@link #take}. */
    Deadline nextCall(double callsPerSecond) {
        double waitNanos = Math.max(0, 1 - tokens) / callsPerSecond * NANOS_PER_SECOND;
        return new Deadline(atNanos + (long) Math.ceil(waitNanos));
    }
}
