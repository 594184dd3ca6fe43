package org.verbenatray.catalog;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One immutable version of the routes, services and limits. */
public final class Catalog {
    /** The version. */
    private final long version;

    /** The routes by host and prefix. */
    private final Map<String, Map<String, Route>> routes = new HashMap<>();

    /** The services by name. */
    private final Map<String, ServiceSpec> services = new HashMap<>();

    /** The limits. */
    private final CallerLimits limits;

    /** Creates a version. */
    private Catalog(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
        this.version = version;
        this.limits = limits;
        routes.forEach(route -> this.routes
                .computeIfAbsent(route.host(), host -> new HashMap<>())
                .put(route.pathPrefix(), route));
        services.forEach(service -> this.services.put(service.name(), service));
    }

    /** Returns a version with the given content. */
    public static Catalog of(long version, List<Route> routes, List<ServiceSpec> services, CallerLimits limits) {
        return new Catalog(version, routes, services, limits);
    }

    /** Returns the version, which grows with each change. */
    public long version() {
        return version;
    }

    /** Returns the limits of callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns a service by its name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the services. */
    public List<ServiceSpec> services() {
        return List.copyOf(services.values());
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return routes.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the route with the longest prefix of the path among those of the host. */
    public Optional<Route> match(String host, String path) {
        Map<String, Route> ofHost = routes.get(withoutPort(host));
        if (ofHost == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route found = ofHost.get(path.substring(0, slash + 1));
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }

    /** Returns a host in lower case without its port. */
    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
