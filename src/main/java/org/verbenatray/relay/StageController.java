package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.ToDoubleFunction;
import org.verbenatray.authority.LogLease;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.catalog.BackendService;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.placement.StagePlanner;
import org.verbenatray.placement.StagePlanner.StageChange;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/**
 * Orders engines to change their serving stage while this instance holds the lease. Orders carry the fencing token, so
 * that an engine rejects those of a former holder.
 */
public final class StageController {
    /** The time between two checks of the stages in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 500;

    private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

    /** Time after an order in which the same engine gets no other, since the order may be executed late. */
    private static final long ORDER_SETTLE_MILLIS = 15_000;

    private static final int MAX_RESPONSE_BYTES = 16 * 1024;

    /** Largest age of the load report whose count of accepted orders is put into an order. */
    private static final long MAX_LOAD_AGE_MILLIS = 3_000;

    private static final Logger log = System.getLogger(StageController.class.getName());

    private final RelayContext context;
    private final String instance;
    private final LogLease lease;

    /** Returns how much slower an engine generates output than the others. */
    private final ToDoubleFunction<Backend> generationSlowness;

    /** Planners by service name. */
    private final Map<String, StagePlanner> planners = new HashMap<>();

    /** When each engine may get its next order, by boot id. */
    private final Map<String, Deadline> settlingUntil = new HashMap<>();

    private StageController(
            RelayContext context, String instance, LogLease lease, ToDoubleFunction<Backend> generationSlowness) {
        this.context = context;
        this.instance = instance;
        this.lease = lease;
        this.generationSlowness = generationSlowness;
    }

    /**
     * Creates a controller for the instance with the given name, which acts while it holds the lease.
     *
     * @param generationSlowness returns how much slower an engine generates output than the others, 1 if it does not
     */
    public static StageController create(
            RelayContext context, String instance, LogLease lease, ToDoubleFunction<Backend> generationSlowness) {
        return new StageController(context, instance, lease, generationSlowness);
    }

    /**
     * Plans the stages of every service with engines and sends the orders that are due; does nothing without the lease
     * or while the process stops. Returns the time to the next run in milliseconds.
     */
    public long planStages() {
        if (lease.activeFencingToken().isPresent() && !context.stop().isStopping()) {
            planServices();
        }
        return CHECK_INTERVAL_MILLIS;
    }

    private void planServices() {
        context.catalog().get().map(Catalog::services).stream()
                .flatMap(Collection::stream)
                .filter(service -> service.engineLimits().isPresent())
                .forEach(this::plan);
    }

    private void plan(BackendService service) {
        StagePlanner planner = planners.computeIfAbsent(
                service.name(), name -> StagePlanner.create(context.ticker(), generationSlowness));
        planner.planChanges(
                        context.directory().usable(service.name()),
                        service.engineLimits().orElseThrow().slots())
                .forEach(this::sendOrder);
    }

    /**
     * Sends an order, unless an earlier one to the same engine may still be executed, the lease is lost or the load of
     * the engine is unknown.
     */
    private void sendOrder(StageChange change) {
        Backend engine = change.engine();
        long now = context.ticker().nanos();
        settlingUntil.values().removeIf(until -> until.hasPassed(now));
        OptionalLong fencingToken = lease.activeFencingToken();
        long acceptedOrders = engine.load(now, MAX_LOAD_AGE_MILLIS)
                .map(BackendLoad::acceptedOrders)
                .orElse(-1L);
        if (fencingToken.isEmpty()
                || acceptedOrders < 0
                || settlingUntil.containsKey(engine.entry().bootId())) {
            return;
        }
        settlingUntil.put(engine.entry().bootId(), Deadline.afterMillis(now, ORDER_SETTLE_MILLIS));
        StageOrder order = new StageOrder(engine, change.stage(), instance, fencingToken.getAsLong(), acceptedOrders);
        context.transport()
                .call(
                        context.dialect().changeStage(order),
                        context.thread(),
                        Deadline.afterMillis(now, RESPONSE_TIMEOUT_MILLIS),
                        MAX_RESPONSE_BYTES)
                .whenComplete((response, failure) -> recordOutcome(order, response, failure));
    }

    private void recordOutcome(StageOrder order, BufferedResponse response, Throwable failure) {
        if (failure == null) {
            context.statements().recordStatusAnswer(order.engine(), response);
        }
        Event.named("stage_order")
                .with("engine", order.engine().entry().id())
                .with("stage", order.stage())
                .with("number", order.fencingToken())
                .with("expected_orders", order.acceptedOrders())
                .with("outcome", failure == null ? response.status() : "unknown: " + failure.getMessage())
                .log(log, Level.INFO);
    }

    /**
     * An order to change the serving stage of an engine.
     *
     * @param engine the engine
     * @param stage the new stage
     * @param holder the instance that holds the lease
     * @param fencingToken the fencing token of the lease
     * @param acceptedOrders the number of orders that the engine must have accepted so far, or it rejects this one
     */
    public record StageOrder(
            Backend engine, BackendStage stage, String holder, long fencingToken, long acceptedOrders) {}
}
