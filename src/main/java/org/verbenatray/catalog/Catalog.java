package org.verbenatray.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** An immutable version of the routes, the backend services, the limits for callers and the customers. */
public final class Catalog {
    private final long version;

    /** The routes by host, then by path prefix. */
    private final Map<String, Map<String, Route>> routes = new HashMap<>();

    private final Map<String, BackendService> services = new HashMap<>();

    private final CallerLimits limits;

    private final Customers customers;

    private Catalog(
            long version, List<Route> routes, List<BackendService> services, CallerLimits limits, Customers customers) {
        this.version = version;
        this.limits = limits;
        this.customers = customers;
        routes.forEach(route -> this.routes
                .computeIfAbsent(route.host(), host -> new HashMap<>())
                .put(route.pathPrefix(), route));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /** Creates a catalog with the given version and content. */
    public static Catalog of(
            long version, List<Route> routes, List<BackendService> services, CallerLimits limits, Customers customers) {
        return new Catalog(version, routes, services, limits, customers);
    }

    /** Returns the version, which increases with each change. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the customers. */
    public Customers customers() {
        return customers;
    }

    /** Returns the service with the given name, if there is one. */
    public Optional<BackendService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns all services in no particular order. */
    public List<BackendService> services() {
        return List.copyOf(services.values());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routes.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Returns the route of the host with the longest path prefix that matches, if there is one.
     *
     * @param host the host of the request in any case, with or without a port
     * @param path the path of the request
     */
    public Optional<Route> match(String host, String path) {
        Map<String, Route> routesByPrefix = routes.get(withoutPort(host));
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route found = routesByPrefix.get(path.substring(0, slash + 1));
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    /** Returns the host in lower case and without its port. */
    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
