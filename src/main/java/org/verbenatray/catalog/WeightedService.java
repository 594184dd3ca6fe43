package org.verbenatray.catalog;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight the share of the service relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {}
