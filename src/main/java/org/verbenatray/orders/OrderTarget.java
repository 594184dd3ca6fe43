package org.verbenatray.orders;

/**
 * An engine that receives orders.
 *
 * @param engine the engine's name
 * @param checksFencing whether it rejects orders with an outdated fencing token, even after a restart
 */
public record OrderTarget(String engine, boolean checksFencing) {}
