package org.verbenatray.authority;

/**
 * Durations that control a lease, in milliseconds.
 *
 * @param termMillis the length of one term
 * @param driftMarginMillis the part of a term that the holder does not use, because clocks may run at different rates
 * @param renewIntervalMillis the interval between renewals
 * @param staggerMillis the additional wait before a claim for each rank in the order of preference
 * @param retryDelayMillis the time after which an append without a response is retried
 */
public record LeaseTiming(
        long termMillis, long driftMarginMillis, long renewIntervalMillis, long staggerMillis, long retryDelayMillis) {
    /** Fails with {@link IllegalArgumentException} if a holder could not renew before its authority expires. */
    public LeaseTiming {
        if (renewIntervalMillis + driftMarginMillis >= termMillis
                || renewIntervalMillis <= 0
                || driftMarginMillis <= 0) {
            throw new IllegalArgumentException(
                    "lease times leave no room to renew: raise the term above renewal time plus drift margin");
        }
    }

    /** Returns the default durations. */
    public static LeaseTiming defaults() {
        return new LeaseTiming(6_000, 500, 1_500, 500, 1_000);
    }
}
