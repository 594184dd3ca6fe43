package org.verbenatray.catalog;

import java.util.Optional;

/**
 * A named set of equal backend servers.
 *
 * @param name the name
 * @param healthPath the path of the health check
 * @param maxConnections the connections that one server takes from all callers together
 * @param engine what its engines have; empty for a plain service
 */
public record ServiceSpec(String name, String healthPath, int maxConnections, Optional<EngineLimits> engine) {}
