package org.verbenatray.orders;

import java.util.Optional;
import java.util.Set;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.orders.Order.ChangeRole;

/** An engine that judges every effect against the log as it is at that moment. */
final class FakeEngine {
    final String name;
    private final OrderWorld world;
    private final boolean checks;
    private EngineRole role = EngineRole.BOTH;
    private Optional<String> lastOrderId = Optional.empty();
    private Optional<String> changeId = Optional.empty();
    private EngineRole changeRole = EngineRole.BOTH;
    private long highest;

    FakeEngine(OrderWorld world, String name, boolean checks) {
        this.world = world;
        this.name = name;
        this.checks = checks;
    }

    OrderReply receive(Order order, long fencing, String id) {
        if (checks && fencing < highest) {
            world.count("old number refused");
            return OrderReply.REFUSED_OLD_FENCING;
        }
        highest = checks ? fencing : 0;
        if (lastOrderId.equals(Optional.of(id)) || changeId.equals(Optional.of(id))) {
            world.count("repeat ignored");
            return OrderReply.DONE;
        }
        if (world.random.nextInt(10) == 0) {
            return OrderReply.REFUSED;
        }
        if (changeId.isPresent()) {
            throw new AssertionError("conflicting order during a change of " + name);
        }
        if (!order.isShownBy(state())) {
            requireOutstanding(id);
        }
        changeId = Optional.of(id);
        changeRole = ((ChangeRole) order).role();
        return OrderReply.DONE;
    }

    void finishChange() {
        if (changeRole != role) {
            requireOutstanding(changeId.orElseThrow());
            world.count("effect on " + name);
        }
        role = changeRole;
        lastOrderId = changeId;
        changeId = Optional.empty();
    }

    /** Ends a change at its start or its end; the last order may be forgotten, the highest number is kept. */
    void crash() {
        if (changeId.isPresent()) {
            world.count("crash in a change");
            role = world.random.nextBoolean() ? changeRole : role;
        }
        changeId = Optional.empty();
        lastOrderId = world.random.nextBoolean() ? Optional.empty() : lastOrderId;
    }

    boolean changing() {
        return changeId.isPresent();
    }

    EngineOrderState state() {
        return new EngineOrderState(role, Set.of(), false, lastOrderId, changing(), highest);
    }

    private void requireOutstanding(String id) {
        boolean outstanding = world.truth
                .orders
                .journal(name)
                .flatMap(EngineJournal::outstanding)
                .filter(order -> order.orderId().equals(id))
                .isPresent();
        if (!outstanding) {
            throw new AssertionError("an order that is not outstanding takes effect on " + name);
        }
    }
}
