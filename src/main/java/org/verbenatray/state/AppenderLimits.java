package org.verbenatray.state;

/**
 * The limits of a {@link BatchingAppender}.
 *
 * @param fleetCallsPerSecond the largest number of append calls per second, summed over all instances
 * @param maxBatchRecords the largest number of records per append call
 * @param maxPendingRecords the largest number of records that are queued or wait for their verdict
 * @param maxInFlightCalls the largest number of append calls without a response
 * @param callTimeoutMillis the timeout of an append call, in milliseconds
 * @param initialBackoffMillis the pause after a first failed append call, in milliseconds; doubled for each
 *     further failure in a row
 * @param maxBackoffMillis the longest pause after a failed append call, in milliseconds
 */
public record AppenderLimits(
        double fleetCallsPerSecond,
        int maxBatchRecords,
        int maxPendingRecords,
        int maxInFlightCalls,
        long callTimeoutMillis,
        long initialBackoffMillis,
        long maxBackoffMillis) {
    /** Returns limits for a platform that supports several hundred append calls per second. */
    public static AppenderLimits defaults() {
        return new AppenderLimits(300, 64, 2_048, 4, 2_000, 100, 2_000);
    }

    /** Returns the pause after the given number of consecutive failures, in milliseconds. */
    long backoffMillis(int failures) {
        int doublings = Math.min(Math.max(0, failures - 1), 20);
        return Math.min(maxBackoffMillis, initialBackoffMillis << doublings);
    }
}
