package org.verbenatray.orders;

/**
 * The timeouts and limits for the execution of an order.
 *
 * @param pollIntervalMillis the interval between reads of the engine's state, in milliseconds
 * @param maxInFlightMillis the time after a failed send during which the engine may still act on the order, in
 *     milliseconds
 * @param executionTimeoutMillis the time after which the execution stops and leaves the order outstanding, in
 *     milliseconds
 * @param appendTimeoutMillis the timeout of an append to the log, in milliseconds
 * @param maxSendAttempts the maximum number of send attempts per execution of an order
 */
public record OrderBounds(
        long pollIntervalMillis,
        long maxInFlightMillis,
        long executionTimeoutMillis,
        long appendTimeoutMillis,
        int maxSendAttempts) {
    /** Returns the default timeouts and limits. */
    public static OrderBounds defaults() {
        return new OrderBounds(250, 30_000, 120_000, 5_000, 4);
    }
}
