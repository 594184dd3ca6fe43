package org.verbenatray.authority;

/**
 * The times of a lease.
 *
 * @param termMillis the length of one term in milliseconds
 * @param driftMarginMillis the part of a term that the holder gives up for clocks that run at different rates
 * @param renewMillis the time between renewals in milliseconds
 * @param staggerMillis the time by which each further instance in the order of preference waits longer to claim
 * @param retryMillis the time before an append without an answer is tried again, in milliseconds
 */
public record LeaseTerms(
        long termMillis, long driftMarginMillis, long renewMillis, long staggerMillis, long retryMillis) {
    /** Rejects times under which a holder could not renew before its authority ends. */
    public LeaseTerms {
        if (renewMillis + driftMarginMillis >= termMillis || renewMillis <= 0 || driftMarginMillis <= 0) {
            throw new IllegalArgumentException(
                    "lease times leave no room to renew: raise the term above renewal time plus drift margin");
        }
    }

    /** Returns the usual times. */
    public static LeaseTerms defaults() {
        return new LeaseTerms(6_000, 500, 1_500, 500, 1_000);
    }
}
