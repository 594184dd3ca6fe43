package org.verbenatray.standin;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.verbenatray.fleet.EngineCondition;
import org.verbenatray.orders.EngineOrderState;
import org.verbenatray.orders.ModelVersion;
import org.verbenatray.orders.Order;
import org.verbenatray.orders.OrderResponse;
import org.verbenatray.servers.HttpEngineOrders.SentOrder;
import org.verbenatray.standin.engine.EngineLoad;
import org.verbenatray.standin.engine.EngineModel;
import org.verbenatray.standin.engine.EngineRefusal;

/** Executes the orders that a stand-in engine receives. Confined to the engine's thread. */
final class OrderHandler {
    private final EngineModel model;

    /** Whether orders with an outdated fencing token are rejected. */
    private final boolean checksFencing;

    /** The highest fencing token received. It survives a crash. */
    private long highestFencing;

    /** The id of the last order that took effect, if any. */
    private Optional<String> lastOrderId = Optional.empty();

    /** The id of the order whose change is in progress, if any. */
    private Optional<String> pendingOrderId = Optional.empty();

    /** Whether the engine is withdrawn. */
    private boolean withdrawn;

    /** The number of orders that arrived while another one was in progress. */
    private int conflictingOrders;

    /** The number of role changes that took effect. */
    private int roleChanges;

    OrderHandler(EngineModel model, boolean checksFencing) {
        this.model = model;
        this.checksFencing = checksFencing;
    }

    /**
     * Starts executing an order, or rejects it. Repeating an order that is in progress or was the last to take effect
     * has no effect and returns {@link OrderResponse#DONE}.
     */
    OrderResponse handle(SentOrder sent, long nowNanos) {
        if (checksFencing && sent.fencing() < highestFencing) {
            return OrderResponse.REFUSED_OLD_FENCING;
        }
        highestFencing = Math.max(highestFencing, sent.fencing());
        Optional<String> id = Optional.of(sent.orderId());
        if (id.equals(lastOrderId) || id.equals(pendingOrderId)) {
            return OrderResponse.DONE;
        }
        if (pendingOrderId.isPresent()) {
            conflictingOrders++;
            return OrderResponse.REFUSED;
        }
        return Order.parse(sent.action())
                .map(order -> execute(order, sent.orderId(), nowNanos))
                .orElse(OrderResponse.REFUSED);
    }

    /** Returns the order state that the engine reports. */
    EngineOrderState orderState() {
        EngineLoad load = model.load();
        Set<ModelVersion> loaded = new HashSet<>();
        load.models().forEach((name, version) -> loaded.add(new ModelVersion(name, version)));
        boolean changing = load.condition() == EngineCondition.CHANGING;
        return new EngineOrderState(
                load.role(), loaded, withdrawn, lastOrderId, changing, checksFencing ? highestFencing : 0);
    }

    /** Records that the change in progress took effect. */
    void recordChangeCompleted(boolean isRoleChange) {
        lastOrderId = pendingOrderId.or(() -> lastOrderId);
        pendingOrderId = Optional.empty();
        roleChanges += isRoleChange ? 1 : 0;
    }

    /** Discards the change in progress and the withdrawal after a crash. */
    void resetAfterCrash() {
        pendingOrderId = Optional.empty();
        withdrawn = false;
    }

    /** Returns whether the engine is withdrawn. */
    boolean isWithdrawn() {
        return withdrawn;
    }

    /** Returns the number of orders that arrived while another one was in progress. */
    int conflictingOrders() {
        return conflictingOrders;
    }

    /** Returns the number of role changes that took effect. */
    int roleChanges() {
        return roleChanges;
    }

    /** Executes an order that is neither a repetition nor in conflict with another one. */
    private OrderResponse execute(Order order, String orderId, long nowNanos) {
        if (order.isSatisfiedBy(orderState())) {
            lastOrderId = Optional.of(orderId);
            return OrderResponse.DONE;
        }
        Optional<EngineRefusal> refusal = Optional.empty();
        if (order instanceof Order.ChangeRole change) {
            refusal = model.changeRole(change.role(), nowNanos);
        } else if (order instanceof Order.Load load) {
            refusal = model.loadModel(load.model().name(), load.model().version(), nowNanos);
        } else if (order instanceof Order.Withdraw) {
            withdrawn = true;
            lastOrderId = Optional.of(orderId);
            return OrderResponse.DONE;
        } else {
            return OrderResponse.REFUSED;
        }
        if (refusal.isPresent()) {
            return OrderResponse.REFUSED;
        }
        pendingOrderId = Optional.of(orderId);
        return OrderResponse.DONE;
    }
}
