package org.verbenatray.state;

/**
 * The times and sizes by which the log is read.
 *
 * @param pollMillis the pause between reads when there is nothing new, in milliseconds
 * @param readTimeoutMillis the time after which an unanswered read is given up, in milliseconds
 * @param firstBackoffMillis the pause after a first failed read, doubled on each further one, in milliseconds
 * @param maxBackoffMillis the longest pause after failed reads, in milliseconds
 * @param pageRecords the largest number of records per read
 */
public record FollowerTimes(
        long pollMillis, long readTimeoutMillis, long firstBackoffMillis, long maxBackoffMillis, int pageRecords) {
    /** Returns values for a platform within a few milliseconds. */
    public static FollowerTimes defaults() {
        return new FollowerTimes(100, 2_000, 50, 2_000, 1_000);
    }

    /** Returns the pause after the given number of failures in a row, in milliseconds. */
    long backoffMillis(int failures) {
        int doublings = Math.min(Math.max(0, failures - 1), 20);
        return Math.min(maxBackoffMillis, firstBackoffMillis << doublings);
    }
}
