package org.verbenatray.orders;

/**
 * An order whose intent was accepted by the log and whose outcome is not journalled yet.
 *
 * @param orderId the id of the order
 * @param engine the name of the engine
 * @param lease the lease under which the intent was journalled
 * @param offset the log offset of the intent
 * @param action the text form of the order, see {@link Order#action}
 */
public record OutstandingOrder(String orderId, String engine, String lease, long offset, String action) {}
