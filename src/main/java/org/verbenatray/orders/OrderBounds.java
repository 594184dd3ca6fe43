package org.verbenatray.orders;

/**
 * The times and bounds of an order.
 *
 * @param pollMillis the time between two reads of the engine's state in milliseconds
 * @param copyLifetimeMillis the time after the failure of a send in which the engine may still act on the order, in
 *     milliseconds
 * @param executionMillis the time after which an order is left outstanding in milliseconds
 * @param journalMillis the time that an append to the journal may take in milliseconds
 * @param maxSends the bound on the sends of one order
 */
public record OrderBounds(
        long pollMillis, long copyLifetimeMillis, long executionMillis, long journalMillis, int maxSends) {
    /** Returns the usual times. */
    public static OrderBounds defaults() {
        return new OrderBounds(250, 30_000, 120_000, 5_000, 4);
    }
}
