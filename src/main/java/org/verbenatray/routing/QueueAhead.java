package org.verbenatray.routing;

import java.util.function.Supplier;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.CustomerSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;
import org.verbenatray.fleet.EngineView;

/**
 * Shows the prompts that an engine serves before a request. Engines serve the higher priority first, and reports do not
 * tell the queue by priority, so a request above the lowest priority is taken to wait for the running step only.
 */
final class QueueAhead {
    /** The prompt tokens of the step that runs when a request of a higher priority arrives. */
    static final long STEP_TOKENS = 256;

    /** The configuration in force. */
    private final Supplier<FleetConfiguration> configuration;

    /** The lowest priority of the configuration that was used last. */
    private volatile Lowest lowest = new Lowest(null, 0);

    /** Creates the rule. */
    QueueAhead(Supplier<FleetConfiguration> configuration) {
        this.configuration = configuration;
    }

    /** Returns the view of an engine with the queue that is served before a request of the given priority. */
    EngineView seenBy(int priority, EngineView view) {
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

    /** Returns the lowest priority that a request can have. */
    private int lowestPriority() {
        FleetConfiguration present = configuration.get();
        Lowest known = lowest;
        if (known.source() != present) {
            known = new Lowest(present, lowestOf(present));
            lowest = known;
        }
        return known.priority();
    }

    /** Returns the lowest of the higher priorities of each model and customer. */
    private static int lowestOf(FleetConfiguration fleet) {
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
     * The lowest priority of a configuration.
     *
     * @param source the configuration, null for none
     * @param priority the priority
     */
    private record Lowest(FleetConfiguration source, int priority) {}
}
