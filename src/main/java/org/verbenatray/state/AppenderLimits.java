package org.verbenatray.state;

/**
 * The bounds of a {@link BatchingAppender}.
 *
 * @param fleetCallsPerSecond the append calls per second of all instances together
 * @param maxBatch the largest number of records per append call
 * @param maxWaiting the largest number of records that wait to be sent or to be judged
 * @param maxInFlight the largest number of unanswered append calls
 * @param callTimeoutMillis the time after which an unanswered append call counts as lost, in milliseconds
 * @param firstBackoffMillis the pause after a first failed append call, doubled on each further one, in milliseconds
 * @param maxBackoffMillis the longest pause after failed append calls, in milliseconds
 */
public record AppenderLimits(
        double fleetCallsPerSecond,
        int maxBatch,
        int maxWaiting,
        int maxInFlight,
        long callTimeoutMillis,
        long firstBackoffMillis,
        long maxBackoffMillis) {
    /** Returns limits for a platform that takes several hundred appends a second. */
    public static AppenderLimits defaults() {
        return new AppenderLimits(300, 64, 2_048, 4, 2_000, 100, 2_000);
    }

    /** Returns the pause after the given number of failures in a row, in milliseconds. */
    long backoffMillis(int failures) {
        int doublings = Math.min(Math.max(0, failures - 1), 20);
        return Math.min(maxBackoffMillis, firstBackoffMillis << doublings);
    }
}
