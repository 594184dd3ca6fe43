package org.verbenatray.roles;

import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.fleet.EngineView;

/**
 * What the planner decides from.
 *
 * @param nowNanos the present time
 * @param engines the engines of one failure domain that serve the same models
 * @param targets the new roles of engines with an outstanding order, by engine name
 * @param shortDemand the demand over the short window
 * @param longDemand the demand over the long window
 * @param expectedShiftMillis how long the present mix is likely to last in milliseconds
 * @param spec the price and bounds of role changes
 * @param mayOrder whether this instance holds the authority to give orders
 */
public record PlannerInput(
        long nowNanos,
        List<EngineView> engines,
        Map<String, EngineRole> targets,
        Demand shortDemand,
        Demand longDemand,
        long expectedShiftMillis,
        RoleSpec spec,
        boolean mayOrder) {
    /** Copies the collections. */
    public PlannerInput {
        engines = List.copyOf(engines);
        targets = Map.copyOf(targets);
    }
}
