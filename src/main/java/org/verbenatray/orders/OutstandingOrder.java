package org.verbenatray.orders;

/**
 * An order whose intent was accepted and whose outcome is not known to the log.
 *
 * @param orderId the id of the order
 * @param engine the engine
 * @param lease the lease under which it was journalled
 * @param offset the offset of the intent
 * @param action what the engine has to do
 */
public record OutstandingOrder(String orderId, String engine, String lease, long offset, String action) {}
