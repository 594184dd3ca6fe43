package org.verbenatray.roles;

import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.time.Deadline;

/** Plans the roles of one failure domain from the work that arrived there; used by one thread at a time. */
public final class DomainPlanner {
    /** The shortest time that a mix is expected to last in milliseconds. */
    private static final long SHORTEST_SHIFT_MILLIS = 5_000;

    /** The price and bounds of role changes. */
    private final RoleSpec spec;

    /** The arrived work. */
    private final DemandWindows windows;

    /** The past shifts. */
    private final ShiftHistory history;

    /** When the short window was observed once. */
    private final Deadline warm;

    /** Creates a planner that observed nothing. */
    private DomainPlanner(RoleSpec spec, long nowNanos) {
        this.spec = spec;
        this.windows = DemandWindows.create(spec.longWindowMillis(), nowNanos);
        this.history = ShiftHistory.create(SHORTEST_SHIFT_MILLIS, spec.longWindowMillis());
        this.warm = Deadline.afterMillis(nowNanos, spec.shortWindowMillis());
    }

    /** Returns a planner that observed nothing. */
    public static DomainPlanner create(RoleSpec spec, long nowNanos) {
        return new DomainPlanner(spec, nowNanos);
    }

    /** Returns the price and bounds by which this planner decides. */
    public RoleSpec spec() {
        return spec;
    }

    /** Counts a request that arrived; the work of each stands for that of {@code weight} requests. */
    public void arrived(
            long nowNanos, int weight, int priority, long promptTokens, long outputTokens, long patienceMillis) {
        for (int i = 0; i < weight; i++) {
            windows.record(nowNanos, priority, promptTokens, outputTokens, patienceMillis);
        }
    }

    /** Returns what the planner decides from now. */
    public PlannerInput input(
            long nowNanos, List<EngineView> engines, Map<String, EngineRole> targets, boolean mayOrder) {
        Demand shortDemand = windows.demand(nowNanos, spec.shortWindowMillis());
        Demand longDemand = windows.demand(nowNanos, spec.longWindowMillis());
        if (!engines.isEmpty() && warm.passed(nowNanos)) {
            EngineSpec engine = engines.get(0).spec();
            history.observe(
                    nowNanos,
                    CapacityModel.promptShare(engine, shortDemand),
                    CapacityModel.promptShare(engine, longDemand));
        }
        return new PlannerInput(
                nowNanos,
                engines,
                targets,
                shortDemand,
                longDemand,
                history.expectedMillis(nowNanos),
                spec,
                mayOrder && warm.passed(nowNanos));
    }
}
