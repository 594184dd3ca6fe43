package org.verbenatray.catalog;

import java.util.Map;

/**
 * The bounds and prices of the servers that can be ordered for a service.
 *
 * @param min the smallest number of servers in a failure domain
 * @param max the largest number of servers in a failure domain, of both kinds together
 * @param bootMillis the time from an order until a new server serves, in milliseconds
 * @param reclaimablePrice the price of a server that may be reclaimed, as a share of that of another one
 * @param domainPrices the price of a server by failure domain, for each second
 */
public record ServiceScaling(
        int min, int max, long bootMillis, double reclaimablePrice, Map<String, Double> domainPrices) {
    /** Returns whether the service may have servers in a failure domain. */
    public boolean offeredIn(String domain) {
        return domainPrices.containsKey(domain);
    }
}
