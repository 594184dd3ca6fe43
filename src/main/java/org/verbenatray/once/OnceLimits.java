package org.verbenatray.once;

/**
 * The times and bounds of a {@link OnceGate}.
 *
 * @param reserveTimeoutMillis the longest wait for the verdict over a reservation, in milliseconds
 * @param settleTimeoutMillis the wait for the verdict over an outcome or release, in milliseconds
 * @param sweepMillis the time between two looks at what is overdue, in milliseconds
 * @param orphanMillis the age after which an unsettled call is settled as one that may have run, in milliseconds
 * @param maxOpen the largest number of attempts and unrecorded ends
 * @param maxWaiting the largest number of repeats that wait for another attempt
 * @param retryAfterMillis when a caller is told to come back, in milliseconds
 */
public record OnceLimits(
        long reserveTimeoutMillis,
        long settleTimeoutMillis,
        long sweepMillis,
        long orphanMillis,
        int maxOpen,
        int maxWaiting,
        long retryAfterMillis) {
    /** Returns values for a small entry instance. */
    public static OnceLimits defaults() {
        return new OnceLimits(2_000, 5_000, 500, 600_000, 2_048, 2_048, 1_000);
    }
}
