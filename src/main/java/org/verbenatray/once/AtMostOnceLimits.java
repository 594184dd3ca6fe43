package org.verbenatray.once;

/**
 * Timeouts and limits of an {@link AtMostOnceExecutor}.
 *
 * @param reserveTimeoutMillis the maximum wait for the verdict on a reservation, in milliseconds
 * @param settleTimeoutMillis the maximum wait for the verdict on an outcome or release, in milliseconds, before it
 *     is appended again
 * @param sweepIntervalMillis the time between two sweeps, in milliseconds
 * @param orphanTimeoutMillis the age after which an unsettled call is settled as one that may have run, in milliseconds
 * @param maxOpen the maximum number of running attempts and unconfirmed records
 * @param maxWaitingRequests the maximum number of requests that wait for another attempt with the same key
 * @param retryAfterMillis the retry delay given to callers, in milliseconds
 */
public record AtMostOnceLimits(
        long reserveTimeoutMillis,
        long settleTimeoutMillis,
        long sweepIntervalMillis,
        long orphanTimeoutMillis,
        int maxOpen,
        int maxWaitingRequests,
        long retryAfterMillis) {
    /** Returns defaults that suit a small entry instance. */
    public static AtMostOnceLimits defaults() {
        return new AtMostOnceLimits(2_000, 5_000, 500, 600_000, 2_048, 2_048, 1_000);
    }
}
