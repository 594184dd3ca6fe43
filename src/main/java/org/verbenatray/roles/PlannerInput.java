package org.verbenatray.roles;

import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.fleet.EngineView;

/**
 * The input of a decision of the {@link RolePlanner}.
 *
 * @param nowNanos the current time in nanoseconds
 * @param engines the engines of one failure domain that serve the same models
 * @param targetRoles the new roles of engines with an outstanding role change, by engine name
 * @param shortDemand the demand over the short window
 * @param longDemand the demand over the long window
 * @param expectedShiftMillis the expected remaining time of the current mix of work in milliseconds
 * @param spec the price, windows and limits of role changes
 * @param mayIssueOrders whether this instance may issue orders now
 */
public record PlannerInput(
        long nowNanos,
        List<EngineView> engines,
        Map<String, EngineRole> targetRoles,
        Demand shortDemand,
        Demand longDemand,
        long expectedShiftMillis,
        RoleSpec spec,
        boolean mayIssueOrders) {
    /** Copies the collections. */
    public PlannerInput {
        engines = List.copyOf(engines);
        targetRoles = Map.copyOf(targetRoles);
    }
}
