package org.verbenatray.suspects;

/**
 * The limits of a {@link SuspectTable}.
 *
 * @param maxEntries the largest number of fingerprints in the table
 * @param maxIsolatedRuns the largest number of servers that are reserved for isolated runs at the same time
 * @param blockMillis the time for which the second crash blocks a fingerprint, in milliseconds; doubled for each
 *     further crash
 * @param maxBlockMillis the longest time for which crashes block a fingerprint, in milliseconds
 * @param entryTtlMillis the time after the last change at which an entry expires, in milliseconds
 * @param isolatedRunMillis the time after which the reservation for an isolated run expires, in milliseconds
 * @param retryDelayMillis the delay before a waiting suspect request is decided on again, in milliseconds
 */
public record SuspectLimits(
        int maxEntries,
        int maxIsolatedRuns,
        long blockMillis,
        long maxBlockMillis,
        long entryTtlMillis,
        long isolatedRunMillis,
        long retryDelayMillis) {
    /** Returns the default limits. */
    public static SuspectLimits defaults() {
        return new SuspectLimits(8_192, 2, 600_000, 86_400_000, 172_800_000, 300_000, 200);
    }

    /** Returns the time for which the given number of crashes blocks a fingerprint, in milliseconds. */
    long blockMillis(int crashes) {
        int doublings = Math.min(crashes - 2, 30);
        return Math.min(maxBlockMillis, blockMillis << doublings);
    }
}
