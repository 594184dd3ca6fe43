package org.verbenatray.state;

/**
 * The settings of a {@link LogFollower}.
 *
 * @param pollMillis the pause between reads when the follower has caught up, in milliseconds
 * @param readTimeoutMillis the timeout of a read, in milliseconds
 * @param initialBackoffMillis the pause after a first failed read, in milliseconds; doubled for each further failure in
 *     a row
 * @param maxBackoffMillis the longest pause after a failed read, in milliseconds
 * @param pageRecords the largest number of records per read
 */
public record FollowerSettings(
        long pollMillis, long readTimeoutMillis, long initialBackoffMillis, long maxBackoffMillis, int pageRecords) {
    /** Returns settings for a platform whose network round trip takes a few milliseconds. */
    public static FollowerSettings defaults() {
        return new FollowerSettings(100, 2_000, 50, 2_000, 1_000);
    }

    /** Returns the pause after the given number of consecutive failures, in milliseconds. */
    long backoffMillis(int failures) {
        int doublings = Math.min(Math.max(0, failures - 1), 20);
        return Math.min(maxBackoffMillis, initialBackoffMillis << doublings);
    }
}
