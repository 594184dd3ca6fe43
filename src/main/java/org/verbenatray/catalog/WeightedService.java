package org.verbenatray.catalog;

/**
 * A service that takes a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight its share relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {}
