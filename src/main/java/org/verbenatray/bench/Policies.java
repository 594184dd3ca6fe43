package org.verbenatray.bench;

import java.util.List;
import java.util.Optional;
import org.verbenatray.bench.MixSimulation.PolicyFactory;
import org.verbenatray.roles.RolePlanner;

/** The policies of role changes by name. */
final class Policies {
    /** The policy that stands for the best of all others and of all schedules with knowledge of the mix. */
    static final String ORACLE = "oracle";

    /** The names of the policies that are compared. */
    static final List<String> NAMES = List.of("never", "threshold", "instant", "planner", ORACLE);

    /** Prevents instances. */
    private Policies() {}

    /** Returns the policy of the given name; the oracle is composed of several ones elsewhere. */
    static Optional<PolicyFactory> named(String name) {
        return switch (name) {
            case "never" -> Optional.of(arrivals -> BaselinePolicies.never());
            case "threshold" -> Optional.of(arrivals -> BaselinePolicies.threshold());
            case "instant" -> Optional.of(arrivals -> BaselinePolicies.instant());
            case "planner" ->
                Optional.of(arrivals -> input -> RolePlanner.plan(input).changes());
            case "foresight" -> Optional.of(ForesightPolicy::create);
            default -> Optional.empty();
        };
    }
}
