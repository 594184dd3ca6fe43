package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.authority.Authority;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.configuration.FleetConfiguration.ModelSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.log.RecordBody.OrderResult;
import org.verbenatray.orders.EngineOrderState;
import org.verbenatray.orders.ModelVersion;
import org.verbenatray.orders.Order;
import org.verbenatray.orders.OrderTarget;
import org.verbenatray.orders.OutstandingOrder;
import org.verbenatray.roles.DomainDemandTracker;
import org.verbenatray.roles.RoleAlternative;
import org.verbenatray.roles.RolePlan;
import org.verbenatray.roles.RolePlanner;
import org.verbenatray.telemetry.Event;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.time.Timing;

/**
 * Plans the roles and model versions of the engines of one failure domain, and orders the engines to change them, while
 * this instance holds the domain's lease. Roles are planned only when no order is in progress.
 */
final class RoleController {
    private static final Logger log = System.getLogger(RoleController.class.getName());

    /** The time between two decisions in milliseconds. */
    private static final long DECISION_INTERVAL_MILLIS = 1_000;

    private static final int MAX_KEPT_DECISIONS = 64;

    private final OrderParts parts;

    private final FleetView fleet;

    private final Timing timing;

    private final Metrics metrics;

    /** The engines with an order or state read in progress, with the new role if the order changes the role. */
    private final Map<String, Optional<EngineRole>> inProgress = new HashMap<>();

    /** The latest decisions with changes, oldest first, kept for explanations. */
    private final Deque<Decision> decisions = new ArrayDeque<>();

    /** The configuration offset at which each engine was last found to have all configured model versions. */
    private final Map<String, Long> checkedOffsets = new HashMap<>();

    private DomainDemandTracker demandTracker;

    /** Creates a controller without starting it. */
    RoleController(OrderParts parts, FleetView fleet, Timing timing, Metrics metrics) {
        this.parts = parts;
        this.fleet = fleet;
        this.timing = timing;
        this.metrics = metrics;
        this.demandTracker =
                DomainDemandTracker.create(RoleSpec.defaults(), timing.ticker().nanos());
    }

    /** Starts to compete for the lease and to decide periodically. */
    void start() {
        parts.lease().start();
        runCycle();
    }

    /** Stops competing for the lease and releases it. */
    void releaseLease() {
        parts.lease().startRelease();
    }

    /** Returns whether the log shows that this instance does not hold the lease. */
    boolean isLeaseReleased() {
        return parts.lease().isReleased();
    }

    /**
     * Counts a request as demand for role planning.
     *
     * @param weight the number of requests that this one stands for: one for each instance that shares the callers
     * @param priority the priority of the request
     * @param promptTokens the tokens of its prompt
     * @param outputTokens the expected output tokens
     * @param firstTokenTimeoutMillis the remaining time in milliseconds in which it must get its first token
     */
    synchronized void recordArrival(
            int weight, int priority, long promptTokens, long outputTokens, long firstTokenTimeoutMillis) {
        demandTracker.recordArrival(
                timing.ticker().nanos(), weight, priority, promptTokens, outputTokens, firstTokenTimeoutMillis);
    }

    /** Returns the latest decisions with changes, oldest first. */
    synchronized List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    /** Decides once, if this instance holds the lease, and schedules the next decision. */
    private void runCycle() {
        try {
            parts.lease().authority(timing.ticker().nanos()).ifPresent(this::decide);
        } finally {
            timing.scheduler().runAt(timing.deadlineAfterMillis(DECISION_INTERVAL_MILLIS), this::runCycle);
        }
    }

    /** Settles outstanding orders, then loads missing model versions, then changes roles. */
    private synchronized void decide(Authority authority) {
        FleetConfiguration configuration = parts.configuration().get().fleet();
        if (!configuration.roles().equals(demandTracker.spec())) {
            demandTracker = DomainDemandTracker.create(
                    configuration.roles(), timing.ticker().nanos());
        }
        for (OutstandingOrder order : parts.outstanding().get()) {
            orderTarget(order.engine(), authority).ifPresent(target -> settle(target, order));
        }
        List<EngineView> views = fleet.views(timing.ticker().nanos()).stream()
                .filter(view -> view.spec().failureDomain().equals(authority.lease()))
                .toList();
        if (!inProgress.isEmpty()) {
            return;
        }
        checkVersions(views, configuration, authority);
        if (inProgress.isEmpty()) {
            planRoles(views, authority);
        }
    }

    /** Orders the role changes of a new plan. */
    private void planRoles(List<EngineView> views, Authority authority) {
        RolePlan plan = RolePlanner.plan(
                demandTracker.updateAndCreateInput(timing.ticker().nanos(), views, Map.of(), true));
        for (RoleAlternative change : plan.changes()) {
            orderTarget(change.engine(), authority).ifPresent(target -> changeRole(target, change, plan));
        }
    }

    private void changeRole(OrderTarget target, RoleAlternative change, RolePlan plan) {
        Event.named("role_change_decided")
                .with("engine", change.engine())
                .with("from", change.from())
                .with("to", change.to())
                .with("reason", plan.reason())
                .with("gain_answers", String.format("%.1f", change.gainAnswers()))
                .with("price", demandTracker.spec().changePrice())
                .with("expected_shift_ms", plan.expectedShiftMillis())
                .with("prompt_tokens_per_s", (long) plan.shortDemand().promptTokensPerSecond())
                .with("output_tokens_per_s", (long) plan.shortDemand().outputTokensPerSecond())
                .with("alternatives", plan.alternatives().size())
                .with("configuration", parts.configuration().get().offset())
                .log(log, Level.INFO);
        decisions.addLast(new Decision(timing.clock().millis(), change, plan));
        if (decisions.size() > MAX_KEPT_DECISIONS) {
            decisions.removeFirst();
        }
        sendOrder(target, new Order.ChangeRole(change.to()), plan.reason().name());
    }

    /** Reads the state of the first ready engine not checked against this configuration; one engine at a time. */
    private void checkVersions(List<EngineView> views, FleetConfiguration configuration, Authority authority) {
        long offset = parts.configuration().get().offset();
        Optional<EngineView> unchecked = views.stream()
                .filter(view -> view.condition() == EngineCondition.READY)
                .filter(view -> checkedOffsets.getOrDefault(view.name(), -1L) != offset)
                .findFirst();
        if (unchecked.isEmpty()) {
            return;
        }
        EngineView view = unchecked.get();
        inProgress.put(view.name(), Optional.empty());
        parts.engines()
                .readState(view.name())
                .whenComplete((state, failure) -> timing.scheduler()
                        .runAt(
                                timing.deadlineAfterMillis(0),
                                () -> onVersionsRead(view, state, configuration, offset, authority)));
    }

    /** Orders the load of the first configured version that an engine lacks. */
    private synchronized void onVersionsRead(
            EngineView view,
            EngineOrderState state,
            FleetConfiguration configuration,
            long offset,
            Authority authority) {
        inProgress.remove(view.name());
        if (state == null) {
            return;
        }
        Optional<ModelVersion> missing = configuration.models().entrySet().stream()
                .filter(model -> serves(view.spec(), model.getKey(), model.getValue()))
                .map(model -> new ModelVersion(model.getKey(), model.getValue().version()))
                .filter(version -> !state.loaded().contains(version))
                .findFirst();
        if (missing.isEmpty()) {
            checkedOffsets.put(view.name(), offset);
            return;
        }
        orderTarget(view.name(), authority)
                .ifPresent(target -> sendOrder(target, new Order.Load(missing.get()), "configured version"));
    }

    /** Returns whether the configuration assigns a model to an engine. */
    private static boolean serves(EngineSpec engine, String model, ModelSpec spec) {
        boolean inDomain =
                spec.failureDomains().isEmpty() || spec.failureDomains().contains(engine.failureDomain());
        return inDomain && (engine.models().isEmpty() || engine.models().contains(model));
    }

    /** Sends an order and marks the engine as in progress. */
    private void sendOrder(OrderTarget target, Order order, String reason) {
        Optional<EngineRole> role =
                order instanceof Order.ChangeRole change ? Optional.of(change.role()) : Optional.empty();
        inProgress.put(target.engine(), role);
        fleet.onChangeOrdered(target.engine(), timing.ticker().nanos());
        parts.executor()
                .execute(target, order, reason)
                .whenComplete((result, failure) -> onOrderEnded(target, order.action(), result, failure));
    }

    /** Settles an order that an earlier lease holder left outstanding. */
    private void settle(OrderTarget target, OutstandingOrder order) {
        if (inProgress.containsKey(target.engine())) {
            return;
        }
        inProgress.put(target.engine(), Optional.empty());
        parts.executor()
                .settle(target)
                .whenComplete((result, failure) ->
                        onOrderEnded(target, order.action(), result == null ? null : result.orElse(null), failure));
    }

    /** Records the end of an order. */
    private synchronized void onOrderEnded(OrderTarget target, String action, OrderResult result, Throwable failure) {
        Optional<EngineRole> role = inProgress.remove(target.engine());
        if (result == OrderResult.DONE && role != null && role.isPresent()) {
            metrics.recordRoleChange();
        }
        Event.named("order_ended")
                .with("engine", target.engine())
                .with("action", action)
                .with("result", failure == null ? String.valueOf(result) : failure.getMessage())
                .log(log, failure == null ? Level.INFO : Level.WARNING);
    }

    /** Returns the order target of an engine, empty when it is not configured or the authority does not cover it. */
    private Optional<OrderTarget> orderTarget(String engine, Authority authority) {
        return Optional.ofNullable(parts.configuration().get().fleet().engines().get(engine))
                .map(spec -> new OrderTarget(engine, spec.checksFencing()))
                .filter(target -> authority.covers(target.checksFencing()));
    }

    /**
     * A decision to change a role.
     *
     * @param atMillis the time of the decision by the wall clock, in milliseconds since the epoch
     * @param change the role change
     * @param plan the plan with all alternatives considered
     */
    record Decision(long atMillis, RoleAlternative change, RolePlan plan) {}
}
