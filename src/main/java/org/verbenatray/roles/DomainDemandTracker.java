package org.verbenatray.roles;

import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.time.Deadline;

/**
 * Tracks the demand and its shifts in one failure domain, and supplies the input of the {@link RolePlanner} for that
 * domain. Not thread-safe; times must not decrease.
 */
public final class DomainDemandTracker {
    /** Minimum estimate of how long a mix of work lasts, in milliseconds. */
    private static final long MIN_SHIFT_MILLIS = 5_000;

    private final RoleSpec spec;

    private final DemandWindows windows;

    private final ShiftHistory shiftHistory;

    /** Time at which the short window is filled for the first time. No change is ordered before. */
    private final Deadline warmUpEnd;

    private DomainDemandTracker(RoleSpec spec, long nowNanos) {
        this.spec = spec;
        this.windows = DemandWindows.create(spec.longWindowMillis(), nowNanos);
        this.shiftHistory = ShiftHistory.create(MIN_SHIFT_MILLIS, spec.longWindowMillis());
        this.warmUpEnd = Deadline.afterMillis(nowNanos, spec.shortWindowMillis());
    }

    /** Returns a tracker without any recorded arrivals. */
    public static DomainDemandTracker create(RoleSpec spec, long nowNanos) {
        return new DomainDemandTracker(spec, nowNanos);
    }

    /** Returns the price, windows and limits of role changes that this tracker was created with. */
    public RoleSpec spec() {
        return spec;
    }

    /** Records an arrived request, which counts as {@code weight} requests. */
    public void recordArrival(
            long nowNanos, int weight, int priority, long promptTokens, long outputTokens, long patienceMillis) {
        for (int i = 0; i < weight; i++) {
            windows.record(nowNanos, priority, promptTokens, outputTokens, patienceMillis);
        }
    }

    /**
     * Updates the history of shifts with the current demand, and returns the input for a decision of the planner now.
     */
    public PlannerInput updateAndCreateInput(
            long nowNanos, List<EngineView> engines, Map<String, EngineRole> targetRoles, boolean mayIssueOrders) {
        Demand shortDemand = windows.demand(nowNanos, spec.shortWindowMillis());
        Demand longDemand = windows.demand(nowNanos, spec.longWindowMillis());
        if (!engines.isEmpty() && warmUpEnd.hasPassed(nowNanos)) {
            EngineSpec engine = engines.get(0).spec();
            shiftHistory.observe(
                    nowNanos,
                    CapacityModel.prefillTimeShare(engine, shortDemand),
                    CapacityModel.prefillTimeShare(engine, longDemand));
        }
        return new PlannerInput(
                nowNanos,
                engines,
                targetRoles,
                shortDemand,
                longDemand,
                shiftHistory.expectedRemainingMillis(nowNanos),
                spec,
                mayIssueOrders && warmUpEnd.hasPassed(nowNanos));
    }
}
