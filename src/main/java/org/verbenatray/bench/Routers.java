package org.verbenatray.bench;

import java.util.List;
import java.util.SplittableRandom;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.fleet.PrefixIndex;
import org.verbenatray.routing.CostModel;
import org.verbenatray.routing.CostRouter;
import org.verbenatray.routing.Router;

/** The routers of the experiments by name. */
final class Routers {
    /** The router of the entry instances. */
    static final String COST = "cost";

    /** The router that scans all pairs and knows that engines honour priorities. */
    static final String LEAST_TIME = "least-time";

    /** The names of the routers. */
    static final List<String> NAMES = List.of(COST, LEAST_TIME);

    /** Prevents instances. */
    private Routers() {}

    /** Returns the router of the given name. */
    static Router create(String name, PrefixIndex prefixIndex, FleetConfiguration configuration, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return switch (name) {
            case COST -> CostRouter.create(CostModel.defaults(), prefixIndex, () -> configuration, random::nextLong);
            case LEAST_TIME -> new LeastTimeRouter();
            default -> throw new IllegalArgumentException("router " + name + ": use " + String.join(" or ", NAMES));
        };
    }
}
