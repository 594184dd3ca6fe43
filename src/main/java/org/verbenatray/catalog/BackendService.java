package org.verbenatray.catalog;

import java.util.Optional;

/**
 * A named set of interchangeable backend servers.
 *
 * @param name the name of the service
 * @param healthPath the path of the health check
 * @param maxConnections the maximum number of connections that a server accepts from all its clients together
 * @param engineLimits the capacity of each engine; empty for a plain service
 * @param scaling the servers that can be ordered; empty if their number is fixed
 */
public record BackendService(
        String name,
        String healthPath,
        int maxConnections,
        Optional<EngineLimits> engineLimits,
        Optional<ServiceScaling> scaling) {}
