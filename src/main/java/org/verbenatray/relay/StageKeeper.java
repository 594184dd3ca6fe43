package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.verbenatray.authority.LogLease;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.LoadReading;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.ServiceSpec;
import org.verbenatray.placement.StagePlanner;
import org.verbenatray.placement.StagePlanner.StageChange;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/** Orders engines to change their stage while this instance holds the lease. */
public final class StageKeeper {
    /** The time that an answer to an order may take in milliseconds. */
    private static final long ANSWER_MILLIS = 1_000;

    /** The time in milliseconds after an order in which the same engine gets no other: it may be carried out late. */
    private static final long SETTLING_MILLIS = 15_000;

    /** The largest answer in bytes. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024;

    /** The age of the load whose count of orders is expected, in milliseconds. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    /** The log. */
    private static final Logger log = System.getLogger(StageKeeper.class.getName());

    /** What the relay works with. */
    private final RelayParts parts;

    /** The name of this instance. */
    private final String instance;

    /** The lease. */
    private final LogLease lease;

    /** The planner of each service. */
    private final Map<String, StagePlanner> planners = new HashMap<>();

    /** Until when each engine gets no other order, by its start. */
    private final Map<String, Deadline> settling = new HashMap<>();

    /** Creates a keeper. */
    private StageKeeper(RelayParts parts, String instance, LogLease lease) {
        this.parts = parts;
        this.instance = instance;
        this.lease = lease;
    }

    /** Returns a keeper of an instance that acts under a lease. */
    public static StageKeeper create(RelayParts parts, String instance, LogLease lease) {
        return new StageKeeper(parts, instance, lease);
    }

    /** Plans every service with engines and sends the orders that are due. */
    public void run() {
        OptionalLong number = lease.authority();
        if (number.isEmpty() || parts.stopping().getAsBoolean()) {
            return;
        }
        parts.catalog().get().map(Catalog::services).stream()
                .flatMap(java.util.Collection::stream)
                .filter(service -> service.engine().isPresent())
                .forEach(this::plan);
    }

    /** Plans a service. */
    private void plan(ServiceSpec service) {
        StagePlanner planner = planners.computeIfAbsent(service.name(), name -> StagePlanner.create(parts.ticker()));
        planner.plan(
                        parts.directory().usable(service.name()),
                        service.engine().orElseThrow().slots())
                .ifPresent(this::order);
    }

    /** Sends an order, unless an earlier one to the same engine may still be carried out. */
    private void order(StageChange change) {
        Backend engine = change.engine();
        long now = parts.ticker().nanos();
        settling.values().removeIf(until -> until.passed(now));
        OptionalLong number = lease.authority();
        long accepted = engine.load(now, MAX_LOAD_AGE_MILLIS)
                .map(LoadReading::acceptedOrders)
                .orElse(-1L);
        if (number.isEmpty()
                || accepted < 0
                || settling.containsKey(engine.entry().boot())) {
            return;
        }
        settling.put(engine.entry().boot(), Deadline.afterMillis(now, SETTLING_MILLIS));
        StageOrder order = new StageOrder(engine, change.stage(), instance, number.getAsLong(), accepted);
        parts.transport()
                .call(
                        parts.dialect().order(order),
                        parts.thread(),
                        Deadline.afterMillis(now, ANSWER_MILLIS),
                        MAX_ANSWER_BYTES)
                .whenComplete((reply, failure) -> Event.named("stage_order")
                        .with("engine", engine.entry().id())
                        .with("stage", change.stage())
                        .with("number", order.number())
                        .with("expected_orders", accepted)
                        .with("outcome", failure == null ? reply.status() : "unknown: " + failure.getMessage())
                        .log(log, Level.INFO));
    }

    /**
     * An order to change the stage.
     *
     * @param engine the engine
     * @param stage the stage to come
     * @param holder the instance that holds the lease
     * @param number the fencing number
     * @param acceptedOrders the orders that the engine must have accepted so far
     */
    public record StageOrder(
            Backend engine,
            org.verbenatray.backends.BackendStage stage,
            String holder,
            long number,
            long acceptedOrders) {}
}
