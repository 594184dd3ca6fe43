package org.verbenatray.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The merged configuration.
 *
 * @param models the served models by name
 * @param customers the customers by name
 * @param services the plain services by name
 * @param engines the model engines by name
 * @param roles the price and bounds of role changes
 */
public record FleetConfiguration(
        Map<String, ModelSpec> models,
        Map<String, CustomerSpec> customers,
        Map<String, ServiceSpec> services,
        Map<String, EngineSpec> engines,
        RoleSpec roles) {

    /** Returns a configuration that serves nothing. */
    public static FleetConfiguration empty() {
        return new FleetConfiguration(Map.of(), Map.of(), Map.of(), Map.of(), RoleSpec.defaults());
    }

    /**
     * A served model.
     *
     * @param version the version that engines have to load
     * @param adapters the adapters that are served with it
     * @param priority the priority, larger is served first
     * @param failureDomains the failure domains that serve it, empty for all
     * @param kvBytesPerToken the size of the KV cache of one token in bytes
     */
    public record ModelSpec(
            String version, List<String> adapters, int priority, List<String> failureDomains, int kvBytesPerToken) {}

    /**
     * A customer.
     *
     * @param keySha256 the SHA-256 of the customer's API key in hexadecimal
     * @param weight the weight of its fair share
     * @param requestsPerSecond the bound on its requests per second
     * @param tokensPerSecond the bound on its prompt and output tokens per second
     * @param maxOpen the bound on its open requests
     * @param priority the priority of its requests, larger is served first
     */
    public record CustomerSpec(
            String keySha256,
            double weight,
            double requestsPerSecond,
            double tokensPerSecond,
            int maxOpen,
            int priority) {}

    /**
     * A plain service.
     *
     * @param servers the backend servers
     * @param calls the calls it offers; a call that is not listed is refused
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
     * @param repeatable whether the call may run more than once
     */
    public record CallSpec(String method, String path, boolean repeatable) {}

    /**
     * A model engine.
     *
     * @param failureDomain the failure domain it runs in
     * @param address the base URI
     * @param checksFencing whether the engine refuses orders that carry an old fencing number
     * @param models the names of the models it may serve, empty for all
     * @param initialRole the role it starts in
     * @param prefillTokensPerSecond the rate at which it processes prompt tokens
     * @param decodeStepMillis the time of one decode step of a batch of one in milliseconds
     * @param decodeStepMillisPerStream the additional time of a decode step per further stream in milliseconds
     * @param maxStreams the largest batch
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
     * The price and bounds of role changes.
     *
     * @param changePrice the goodput in answers that one change must gain before it is worth its trouble
     * @param changeMillis the time that a change takes an engine out of service in milliseconds
     * @param maxAtOnce the largest number of engines that change at once per failure domain
     * @param shortWindowMillis the short window of the demand in milliseconds
     * @param longWindowMillis the long window of the demand in milliseconds
     */
    public record RoleSpec(
            double changePrice, long changeMillis, int maxAtOnce, long shortWindowMillis, long longWindowMillis) {
        /** Returns the values that hold where the folder states none. */
        public static RoleSpec defaults() {
            return new RoleSpec(20, 5_000, 1, 15_000, 120_000);
        }
    }

    /** Returns the customer whose API key has the given SHA-256. */
    public Optional<String> customerOfKey(String keySha256) {
        return customers.entrySet().stream()
                .filter(entry -> entry.getValue().keySha256().equalsIgnoreCase(keySha256))
                .map(Map.Entry::getKey)
                .findFirst();
    }
}
