package org.verbenatray.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.roles.CapacityModel;
import org.verbenatray.roles.Demand;
import org.verbenatray.roles.DemandWindows;
import org.verbenatray.roles.PlannerInput;
import org.verbenatray.roles.RoleAlternative;
import org.verbenatray.roles.ShiftHistory;

/** The planning state of one failure domain. */
final class DomainPlanning {
    /** The shortest time that a mix is expected to last in milliseconds. */
    private static final long SHORTEST_SHIFT_MILLIS = 5_000;

    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The arrived work. */
    private final DemandWindows windows;

    /** The past shifts. */
    private final ShiftHistory history;

    /** The price and bounds of role changes. */
    private final RoleSpec spec;

    /** The policy. */
    private final RolePolicy policy;

    /** The new roles of engines with an outstanding order. */
    private final Map<String, EngineRole> targets = new HashMap<>();

    /** Creates an empty state. */
    DomainPlanning(RoleSpec spec, RolePolicy policy) {
        this.spec = spec;
        this.policy = policy;
        this.windows = DemandWindows.create(spec.longWindowMillis(), 0);
        this.history = ShiftHistory.create(SHORTEST_SHIFT_MILLIS, spec.longWindowMillis());
    }

    /** Counts an arrival. */
    void arrived(Arrival arrival) {
        windows.record(
                arrival.atNanos(),
                arrival.kind().priority(),
                arrival.promptTokens(),
                arrival.kind().expectedOutputTokens(),
                arrival.patienceMillis());
    }

    /** Returns the changes to order now, none before the short window was observed once. */
    List<RoleAlternative> decide(long nowNanos, List<EngineView> views) {
        if (views.isEmpty() || nowNanos < spec.shortWindowMillis() * NANOS_PER_MILLI) {
            return List.of();
        }
        Demand shortDemand = windows.demand(nowNanos, spec.shortWindowMillis());
        Demand longDemand = windows.demand(nowNanos, spec.longWindowMillis());
        EngineSpec engine = views.get(0).spec();
        history.observe(
                nowNanos,
                CapacityModel.promptShare(engine, shortDemand),
                CapacityModel.promptShare(engine, longDemand));
        long shiftMillis = history.expectedMillis(nowNanos);
        return policy.decide(
                new PlannerInput(nowNanos, views, targets, shortDemand, longDemand, shiftMillis, spec, true));
    }

    /** Notes an order. */
    void ordered(RoleAlternative change) {
        targets.put(change.engine(), change.to());
    }

    /** Notes that an order was carried out. */
    void changed(String engine) {
        targets.remove(engine);
    }
}
