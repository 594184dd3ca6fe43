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
import org.verbenatray.roles.DomainPlanner;
import org.verbenatray.roles.RoleAlternative;
import org.verbenatray.roles.RolePlan;
import org.verbenatray.roles.RolePlanner;
import org.verbenatray.telemetry.Event;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.time.Timing;

/** Plans and orders the roles and model versions of the engines of one failure domain while this instance may. */
final class RoleControl {
    /** The logger. */
    private static final Logger log = System.getLogger(RoleControl.class.getName());

    /** The pause between two decisions in milliseconds. */
    private static final long PAUSE_MILLIS = 1_000;

    /** The number of decisions that are kept for explanations. */
    private static final int KEPT_DECISIONS = 64;

    /** What orders are given through. */
    private final OrderParts parts;

    /** The engines of the failure domain. */
    private final FleetView fleet;

    /** The sources of time. */
    private final Timing timing;

    /** Counts role changes. */
    private final Metrics metrics;

    /** The engines that have an order under way, with the new role where it is one of roles. */
    private final Map<String, Optional<EngineRole>> underWay = new HashMap<>();

    /** The last decisions with changes, the oldest first. */
    private final Deque<Decision> decisions = new ArrayDeque<>();

    /** The engines whose versions were found as configured at the given configuration offset. */
    private final Map<String, Long> versionsChecked = new HashMap<>();

    /** The planner. */
    private DomainPlanner planner;

    /** Creates a control that does nothing before it is started. */
    RoleControl(OrderParts parts, FleetView fleet, Timing timing, Metrics metrics) {
        this.parts = parts;
        this.fleet = fleet;
        this.timing = timing;
        this.metrics = metrics;
        this.planner = DomainPlanner.create(RoleSpec.defaults(), timing.ticker().nanos());
    }

    /** Starts to keep the lease and to decide. */
    void start() {
        parts.keeper().start();
        step();
    }

    /** Gives up the lease. */
    void leave() {
        parts.keeper().leave();
    }

    /** Returns whether the log shows that this instance holds no lease. */
    boolean hasLeft() {
        return parts.keeper().hasLeft();
    }

    /** Counts a request that arrived here and stands for as many as there are instances that share the callers. */
    synchronized void arrived(int weight, int priority, long promptTokens, long outputTokens, long patienceMillis) {
        planner.arrived(timing.ticker().nanos(), weight, priority, promptTokens, outputTokens, patienceMillis);
    }

    /** Returns the last decisions with changes. */
    synchronized List<Decision> decisions() {
        return List.copyOf(decisions);
    }

    /** Decides once and plans the next decision. */
    private void step() {
        try {
            parts.keeper().authority(timing.ticker().nanos()).ifPresent(this::decide);
        } finally {
            timing.scheduler().runAt(timing.inMillis(PAUSE_MILLIS), this::step);
        }
    }

    /** Settles what is outstanding, brings versions up to date and changes roles. */
    private synchronized void decide(Authority authority) {
        FleetConfiguration configuration = parts.configuration().get().fleet();
        if (!configuration.roles().equals(planner.spec())) {
            planner =
                    DomainPlanner.create(configuration.roles(), timing.ticker().nanos());
        }
        for (OutstandingOrder order : parts.outstanding().get()) {
            target(order.engine(), authority).ifPresent(target -> settle(target, order));
        }
        List<EngineView> views = fleet.views(timing.ticker().nanos()).stream()
                .filter(view -> view.spec().failureDomain().equals(authority.lease()))
                .toList();
        if (!underWay.isEmpty()) {
            return;
        }
        checkVersions(views, configuration, authority);
        if (underWay.isEmpty()) {
            planRoles(views, authority);
        }
    }

    /** Orders the role changes that the planner decides for. */
    private void planRoles(List<EngineView> views, Authority authority) {
        RolePlan plan = RolePlanner.plan(planner.input(timing.ticker().nanos(), views, Map.of(), true));
        for (RoleAlternative change : plan.changes()) {
            target(change.engine(), authority).ifPresent(target -> changeRole(target, change, plan));
        }
    }

    /** Orders one role change. */
    private void changeRole(OrderTarget target, RoleAlternative change, RolePlan plan) {
        Event.named("role_change_decided")
                .with("engine", change.engine())
                .with("from", change.from())
                .with("to", change.to())
                .with("reason", plan.reason())
                .with("gain_answers", String.format("%.1f", change.gainAnswers()))
                .with("price", planner.spec().changePrice())
                .with("expected_shift_ms", plan.expectedShiftMillis())
                .with("prompt_tokens_per_s", (long) plan.shortDemand().promptTokensPerSecond())
                .with("output_tokens_per_s", (long) plan.shortDemand().outputTokensPerSecond())
                .with("alternatives", plan.alternatives().size())
                .with("configuration", parts.configuration().get().offset())
                .log(log, Level.INFO);
        decisions.addLast(new Decision(timing.clock().millis(), change, plan));
        if (decisions.size() > KEPT_DECISIONS) {
            decisions.removeFirst();
        }
        order(target, new Order.ChangeRole(change.to()), plan.reason().name());
    }

    /** Loads the configured versions, one engine at a time. */
    private void checkVersions(List<EngineView> views, FleetConfiguration configuration, Authority authority) {
        long offset = parts.configuration().get().offset();
        Optional<EngineView> unchecked = views.stream()
                .filter(view -> view.condition() == EngineCondition.READY)
                .filter(view -> versionsChecked.getOrDefault(view.name(), -1L) != offset)
                .findFirst();
        if (unchecked.isEmpty()) {
            return;
        }
        EngineView view = unchecked.get();
        underWay.put(view.name(), Optional.empty());
        parts.engines()
                .state(view.name())
                .whenComplete((state, failure) -> timing.scheduler()
                        .runAt(timing.inMillis(0), () -> versionsRead(view, state, configuration, offset, authority)));
    }

    /** Orders the first version that an engine lacks. */
    private synchronized void versionsRead(
            EngineView view,
            EngineOrderState state,
            FleetConfiguration configuration,
            long offset,
            Authority authority) {
        underWay.remove(view.name());
        if (state == null) {
            return;
        }
        Optional<ModelVersion> missing = configuration.models().entrySet().stream()
                .filter(model -> serves(view.spec(), model.getKey(), model.getValue()))
                .map(model -> new ModelVersion(model.getKey(), model.getValue().version()))
                .filter(version -> !state.loaded().contains(version))
                .findFirst();
        if (missing.isEmpty()) {
            versionsChecked.put(view.name(), offset);
            return;
        }
        target(view.name(), authority)
                .ifPresent(target -> order(target, new Order.Load(missing.get()), "configured version"));
    }

    /** Returns whether an engine has to serve a model. */
    private static boolean serves(EngineSpec engine, String model, ModelSpec spec) {
        boolean inDomain =
                spec.failureDomains().isEmpty() || spec.failureDomains().contains(engine.failureDomain());
        return inDomain && (engine.models().isEmpty() || engine.models().contains(model));
    }

    /** Gives one order. */
    private void order(OrderTarget target, Order order, String reason) {
        Optional<EngineRole> role =
                order instanceof Order.ChangeRole change ? Optional.of(change.role()) : Optional.empty();
        underWay.put(target.engine(), role);
        fleet.onChangeOrdered(target.engine(), timing.ticker().nanos());
        parts.executor()
                .execute(target, order, reason)
                .whenComplete((result, failure) -> ended(target, order.action(), result, failure));
    }

    /** Settles an order that an earlier holder left outstanding. */
    private void settle(OrderTarget target, OutstandingOrder order) {
        if (underWay.containsKey(target.engine())) {
            return;
        }
        underWay.put(target.engine(), Optional.empty());
        parts.executor()
                .settle(target)
                .whenComplete((result, failure) ->
                        ended(target, order.action(), result == null ? null : result.orElse(null), failure));
    }

    /** Notes the end of an order. */
    private synchronized void ended(OrderTarget target, String action, OrderResult result, Throwable failure) {
        Optional<EngineRole> role = underWay.remove(target.engine());
        if (result == OrderResult.DONE && role != null && role.isPresent()) {
            metrics.roleChanged();
        }
        Event.named("order_ended")
                .with("engine", target.engine())
                .with("action", action)
                .with("result", failure == null ? String.valueOf(result) : failure.getMessage())
                .log(log, failure == null ? Level.INFO : Level.WARNING);
    }

    /** Returns an engine as the receiver of orders, empty when the authority does not cover it. */
    private Optional<OrderTarget> target(String engine, Authority authority) {
        return Optional.ofNullable(parts.configuration().get().fleet().engines().get(engine))
                .map(spec -> new OrderTarget(engine, spec.checksFencing()))
                .filter(target -> authority.covers(target.checksFencing()));
    }

    /**
     * A decision with a change.
     *
     * @param atMillis the wall clock in milliseconds since the epoch
     * @param change the change
     * @param plan the plan with what was weighed
     */
    record Decision(long atMillis, RoleAlternative change, RolePlan plan) {}
}
