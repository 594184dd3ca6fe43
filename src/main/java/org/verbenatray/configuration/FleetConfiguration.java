package org.verbenatray.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The merged configuration of the fleet; immutable.
 *
 * @param models the served models by name
 * @param customers the customers by name
 * @param services the plain services by name
 * @param engines the model engines by name
 * @param roles the cost and limits of role changes
 */
public record FleetConfiguration(
        Map<String, ModelSpec> models,
        Map<String, CustomerSpec> customers,
        Map<String, ServiceSpec> services,
        Map<String, EngineSpec> engines,
        RoleSpec roles) {

    /** Returns a configuration without models, customers, services and engines. */
    public static FleetConfiguration empty() {
        return new FleetConfiguration(Map.of(), Map.of(), Map.of(), Map.of(), RoleSpec.defaults());
    }

    /**
     * A model that the fleet serves.
     *
     * @param version the version that engines have to load
     * @param adapters the adapters that are served with it
     * @param priority the priority; larger values are served first
     * @param failureDomains the failure domains that serve it, empty for all
     * @param kvBytesPerToken the size of the KV cache of one token in bytes
     */
    public record ModelSpec(
            String version, List<String> adapters, int priority, List<String> failureDomains, int kvBytesPerToken) {}

    /**
     * A customer.
     *
     * @param keySha256 the SHA-256 of the customer's API key in hexadecimal
     * @param weight the weight of its share in fair queueing
     * @param requestsPerSecond the limit on its requests per second
     * @param tokensPerSecond the limit on its prompt and output tokens per second
     * @param maxOpen the limit on its concurrent requests
     * @param priority the priority of its requests; larger values are served first
     */
    public record CustomerSpec(
            String keySha256,
            double weight,
            double requestsPerSecond,
            double tokensPerSecond,
            int maxOpen,
            int priority) {}

    /**
     * A plain service, whose calls are forwarded to backend servers.
     *
     * @param servers the backend servers
     * @param calls the calls that it offers; a call that is not listed is rejected
     */
    public record ServiceSpec(List<ServerSpec> servers, List<CallSpec> calls) {}

    /**
     * A backend server of a plain service.
     *
     * @param name the name
     * @param failureDomain the failure domain it runs in
     * @param address the base URI, such as {@code http://10.0.0.7:8080}
     */
    public record ServerSpec(String name, String failureDomain, String address) {}

    /**
     * A call of a plain service.
     *
     * @param method the HTTP method
     * @param path the path prefix
     * @param repeatable whether the call is safe to run more than once, so that it may be retried
     */
    public record CallSpec(String method, String path, boolean repeatable) {}

    /**
     * A model engine.
     *
     * @param failureDomain the failure domain it runs in
     * @param address the base URI
     * @param checksFencing whether the engine rejects orders with an outdated fencing token
     * @param models the names of the models it may serve, empty for all
     * @param initialRole the role it starts in
     * @param prefillTokensPerSecond the rate at which it processes prompt tokens
     * @param decodeStepMillis the duration of a decode step with a batch size of one, in milliseconds
     * @param decodeStepMillisPerStream the additional duration of a decode step per further stream, in milliseconds
     * @param maxStreams the maximum number of streams in a batch
     * @param kvTokens the capacity of the KV cache in tokens
     */
    public record EngineSpec(
            String failureDomain,
            String address,
            boolean checksFencing,
            List<String> models,
            EngineRole initialRole,
            double prefillTokensPerSecond,
            double decodeStepMillis,
            double decodeStepMillisPerStream,
            int maxStreams,
            long kvTokens) {}

    /**
     * The cost and limits of role changes.
     *
     * @param changePrice the goodput, in responses, that a role change has to gain to be worthwhile
     * @param changeMillis the time for which a change takes an engine out of service, in milliseconds
     * @param maxAtOnce the maximum number of engines per failure domain that change roles at once
     * @param shortWindowMillis the short window over which demand is measured, in milliseconds
     * @param longWindowMillis the long window over which demand is measured, in milliseconds
     */
    public record RoleSpec(
            double changePrice, long changeMillis, int maxAtOnce, long shortWindowMillis, long longWindowMillis) {
        /** Returns the values that apply where the folder specifies none. */
        public static RoleSpec defaults() {
            return new RoleSpec(20, 5_000, 1, 15_000, 120_000);
        }
    }

    /** Returns the name of the customer whose API key has the given SHA-256, in hexadecimal of either case. */
    public Optional<String> customerWithKeySha256(String keySha256) {
        return customers.entrySet().stream()
                .filter(entry -> entry.getValue().keySha256().equalsIgnoreCase(keySha256))
                .map(Map.Entry::getKey)
                .findFirst();
    }
}
