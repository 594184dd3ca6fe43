package org.verbenatray.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.verbenatray.catalog.ApiKey;
import org.verbenatray.catalog.BackendService;
import org.verbenatray.catalog.CallerLimits;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.Customer;
import org.verbenatray.catalog.Customers;
import org.verbenatray.catalog.EngineLimits;
import org.verbenatray.catalog.Route;
import org.verbenatray.catalog.RouteKind;
import org.verbenatray.catalog.ServiceScaling;
import org.verbenatray.catalog.WeightedService;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.telemetry.Event;

/**
 * Decodes the operator's configuration, a JSON record of the store, into the catalog of routes and services.
 *
 * <p>Fields that are missing or have another type get a default value. Only text that is not JSON, or values that the
 * catalog rejects, make a record malformed; it is then logged as an error and ignored.
 */
final class CatalogDecoder {
    /** The key of the record that holds the operator's configuration. */
    private static final String CONFIGURATION_KEY = "config";

    private static final Logger log = System.getLogger(CatalogDecoder.class.getName());

    private final ObjectMapper json = new ObjectMapper();

    private CatalogDecoder() {}

    /** Returns a new decoder. */
    static CatalogDecoder create() {
        return new CatalogDecoder();
    }

    /** Returns the catalog in a record; empty if the record is of another key, was deleted or is malformed. */
    Optional<Catalog> decode(KeyedLog.Entry entry) {
        if (!entry.key().equals(CONFIGURATION_KEY) || entry.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(decodeCatalog(json.readTree(entry.value().get())));
        } catch (IOException | IllegalArgumentException e) {
            Event.named("routes_malformed").with("why", e.getMessage()).log(log, Level.ERROR);
            return Optional.empty();
        }
    }

    private static Catalog decodeCatalog(JsonNode node) {
        List<Route> routes = new ArrayList<>();
        node.path("routes").forEach(route -> routes.add(decodeRoute(route)));
        List<BackendService> services = new ArrayList<>();
        node.path("services").forEach(service -> services.add(decodeService(service)));
        JsonNode limits = node.path("limits");
        return Catalog.of(
                node.path("version").asLong(),
                routes,
                services,
                new CallerLimits(
                        limits.path("maxHeaderBytes").asInt(16_384),
                        limits.path("maxBodyBytes").asLong(4_194_304),
                        limits.path("headerTimeoutMs").asLong(10_000),
                        limits.path("idleTimeoutMs").asLong(60_000)),
                decodeCustomers(node.path("tenants")));
    }

    /** Decodes the customers; a configuration without a list of them needs no keys. */
    private static Customers decodeCustomers(JsonNode list) {
        if (!list.isArray()) {
            return Customers.notRequired();
        }
        Map<ApiKey, Customer> byKey = new HashMap<>();
        for (JsonNode node : list) {
            JsonNode priority = node.path("priority");
            Customer customer = new Customer(
                    node.path("name").asText(),
                    priority.isInt() ? OptionalInt.of(priority.asInt()) : OptionalInt.empty());
            node.path("apiKeys").forEach(key -> byKey.put(ApiKey.of(key.asText()), customer));
        }
        return Customers.byKey(byKey);
    }

    private static Route decodeRoute(JsonNode node) {
        List<WeightedService> services = new ArrayList<>();
        for (JsonNode share : node.path("trafficSplit")) {
            services.add(new WeightedService(
                    share.path("service").asText(), share.path("weight").asInt()));
        }
        if (services.isEmpty()) {
            services.add(new WeightedService(node.path("service").asText(), 1));
        }
        return new Route(
                node.path("name").asText(),
                node.path("host").asText().toLowerCase(Locale.ROOT),
                node.path("pathPrefix").asText(),
                decodeRouteKind(node.path("kind").asText()),
                node.path("timeoutMs").asLong(30_000),
                node.path("targetLatencyMs").asLong(1_000),
                node.path("priority").asInt(5),
                List.copyOf(services),
                Math.max(1, node.path("maxAttempts").asInt(1)),
                node.path("targetGapMs").asLong(),
                node.path("resumable").asBoolean(),
                node.path("public").asBoolean());
    }

    /** Decodes the kind of a route. An unknown kind counts as unsafe, so that its requests are not retried. */
    private static RouteKind decodeRouteKind(String name) {
        return switch (name) {
            case "safe" -> RouteKind.SAFE;
            case "streaming" -> RouteKind.STREAMING;
            default -> RouteKind.UNSAFE;
        };
    }

    private static BackendService decodeService(JsonNode node) {
        JsonNode engine = node.path("engine");
        Optional<EngineLimits> limits = engine.isObject()
                ? Optional.of(new EngineLimits(
                        engine.path("slots").asInt(1),
                        engine.path("kvTokens").asLong(),
                        Math.round(1_000 * engine.path("handleTtlS").asDouble())))
                : Optional.empty();
        return new BackendService(
                node.path("name").asText(),
                node.path("healthPath").asText("/health"),
                node.path("maxConnections").asInt(64),
                limits,
                decodeScaling(node.path("scaling")));
    }

    /** Decodes which servers can be ordered for a service; its prices name the domains in which it may run. */
    private static Optional<ServiceScaling> decodeScaling(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        Map<String, Double> prices = new HashMap<>();
        node.path("zonePrices")
                .properties()
                .forEach(price -> prices.put(price.getKey(), price.getValue().asDouble()));
        return Optional.of(new ServiceScaling(
                node.path("min").asInt(),
                node.path("max").asInt(),
                Math.round(1_000 * node.path("bootS").asDouble()),
                node.path("spotPrice").asDouble(1),
                Map.copyOf(prices)));
    }
}
