package org.verbenatray.orders;

import java.util.Optional;
import org.verbenatray.log.RecordBody.OrderResult;

/** Decides what to do about an order after the engine's state was read. */
final class OrderSettlement {
    /** Prevents instances. */
    private OrderSettlement() {}

    /**
     * Returns the next step.
     *
     * @param progress what is known of the copies of the order
     * @param state the engine's state
     * @param readStartedNanos the time at which the read of the state began
     * @param maxSends the bound on the sends
     */
    static Step next(OrderProgress progress, EngineOrderState state, long readStartedNanos, int maxSends) {
        if (state.changing()) {
            return Step.WAIT;
        }
        if (state.lastOrderId().equals(Optional.of(progress.orderId()))) {
            return Step.settle(OrderResult.DONE);
        }
        boolean copiesDead = copiesDead(progress, state, readStartedNanos);
        if (copiesDead && progress.order().isShownBy(state)) {
            return Step.settle(OrderResult.DONE);
        }
        if (copiesDead && progress.lastReply().equals(Optional.of(OrderReply.REFUSED))) {
            return Step.settle(OrderResult.REFUSED);
        }
        if (maySend(progress, maxSends)) {
            return Step.SEND;
        }
        return copiesDead ? Step.settle(OrderResult.NOT_RUN) : Step.WAIT;
    }

    /**
     * Returns whether no copy that was sent before the state was read can take effect after it.
     *
     * <p>Copies of a former holder of a checking engine live for ever, but are refused once the engine has seen the
     * higher number.
     */
    private static boolean copiesDead(OrderProgress progress, EngineOrderState state, long readStartedNanos) {
        boolean expired =
                progress.copiesUntil().isEmpty() || progress.copiesUntil().get().passed(readStartedNanos);
        boolean fencedOff =
                !progress.takenOver() || !progress.checksFencing() || state.highestFencing() >= progress.fencing();
        return expired && fencedOff;
    }

    /** Returns whether a copy may be sent; an engine that ignores fencing numbers never has two copies. */
    private static boolean maySend(OrderProgress progress, int maxSends) {
        boolean mayRepeat = progress.checksFencing() || progress.noCopyExists();
        return mayRepeat && progress.sends() < maxSends;
    }

    /**
     * A step.
     *
     * @param kind the kind
     * @param result the outcome, for a settlement
     */
    record Step(Kind kind, Optional<OrderResult> result) {
        /** Send the order. */
        static final Step SEND = new Step(Kind.SEND, Optional.empty());

        /** Read the state again later. */
        static final Step WAIT = new Step(Kind.WAIT, Optional.empty());

        /** Returns a settlement. */
        static Step settle(OrderResult result) {
            return new Step(Kind.SETTLE, Optional.of(result));
        }
    }

    /** The kinds of step. */
    enum Kind {
        /** Send the order. */
        SEND,
        /** Read the state again later. */
        WAIT,
        /** Journal the outcome. */
        SETTLE
    }
}
