package org.verbenatray.routing;

import java.util.function.Supplier;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;
import org.verbenatray.fleet.EngineView;

/**
 * Estimates the part of an engine's prefill queue that is served before a request. Engines serve higher priorities
 * first, but their load reports don't split the queue by priority. A request above the lowest priority is therefore
 * assumed to wait for the running step only. Thread-safe.
 */
final class PriorityQueueModel {
    /** The prompt tokens of the step that is running when a request above the lowest priority arrives. */
    static final long STEP_TOKENS = 256;

    private final Supplier<FleetConfiguration> configuration;

    /** Caches the lowest priority of the configuration that was used last. */
    private volatile LowestPriority cachedLowestPriority = new LowestPriority(null, 0);

    /** Creates a model that follows the current configuration. */
    PriorityQueueModel(Supplier<FleetConfiguration> configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the engine view with its prefill queue reduced to the part that is served before a request of the given
     * priority.
     */
    EngineView viewAtPriority(int priority, EngineView view) {
        if (priority <= lowestPriority() || view.queuedPrefillTokens() <= STEP_TOKENS) {
            return view;
        }
        return new EngineView(
                view.name(),
                view.spec(),
                view.role(),
                view.condition(),
                view.runningStreams(),
                STEP_TOKENS,
                view.usedKvTokens(),
                view.reportAgeMillis(),
                view.cacheDoubtful());
    }

    private int lowestPriority() {
        FleetConfiguration current = configuration.get();
        LowestPriority cached = cachedLowestPriority;
        if (cached.configuration() != current) {
            cached = new LowestPriority(current, computeLowestPriority(current));
            cachedLowestPriority = cached;
        }
        return cached.priority();
    }

    /**
     * Returns the lowest priority that a request can have, where its priority is the higher one of its model's and its
     * customer's.
     */
    private static int computeLowestPriority(FleetConfiguration fleet) {
        int ofModels = fleet.models().values().stream()
                .mapToInt(ModelSpec::priority)
                .min()
                .orElse(0);
        int ofCustomers = fleet.customers().values().stream()
                .mapToInt(CustomerSpec::priority)
                .min()
                .orElse(0);
        return Math.max(ofModels, ofCustomers);
    }

    /**
     * The lowest priority that a request can have under a configuration.
     *
     * @param configuration the configuration, null for none
     * @param priority the priority
     */
    private record LowestPriority(FleetConfiguration configuration, int priority) {}
}
