package org.verbenatray.orders;

/**
 * An engine as the receiver of orders.
 *
 * @param engine the engine's name
 * @param checksFencing whether it refuses orders that carry an old fencing number, also after it was restarted
 */
public record OrderTarget(String engine, boolean checksFencing) {}
