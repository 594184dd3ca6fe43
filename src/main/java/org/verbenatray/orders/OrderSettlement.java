package org.verbenatray.orders;

import java.util.Optional;
import org.verbenatray.log.RecordBody.OrderResult;

/** Decides the next step for an order from its progress and the engine's state. Stateless. */
final class OrderSettlement {
    private OrderSettlement() {}

    /**
     * Returns the next step.
     *
     * <p>An order is settled only when its outcome is certain. If the engine still differs from the ordered state, the
     * order is sent (again) as long as that is safe and attempts remain.
     *
     * @param progress the send attempts so far
     * @param state the engine's state
     * @param readStartedNanos the monotonic time at which the read of the state started, in nanoseconds
     * @param maxSendAttempts the maximum number of send attempts
     */
    static Step nextStep(OrderProgress progress, EngineOrderState state, long readStartedNanos, int maxSendAttempts) {
        if (state.changing()) {
            return Step.WAIT;
        }
        if (state.lastOrderId().equals(Optional.of(progress.orderId()))) {
            return Step.settle(OrderResult.DONE);
        }
        boolean noPendingSend = noSendCanTakeEffect(progress, state, readStartedNanos);
        if (noPendingSend && progress.order().isSatisfiedBy(state)) {
            return Step.settle(OrderResult.DONE);
        }
        if (noPendingSend && progress.lastResponse().equals(Optional.of(OrderResponse.REFUSED))) {
            return Step.settle(OrderResult.REFUSED);
        }
        if (maySend(progress, maxSendAttempts)) {
            return Step.SEND;
        }
        return noPendingSend ? Step.settle(OrderResult.NOT_RUN) : Step.WAIT;
    }

    /**
     * Returns whether no send before the read of the state can take effect after it.
     *
     * <p>Sends of a former lease holder to an engine that checks fencing tokens may arrive at any later time, but the
     * engine rejects them once it has received a higher token.
     */
    private static boolean noSendCanTakeEffect(OrderProgress progress, EngineOrderState state, long readStartedNanos) {
        boolean expired = progress.inFlightUntil().isEmpty()
                || progress.inFlightUntil().get().hasPassed(readStartedNanos);
        boolean earlierSendsFenced =
                !progress.resumed() || !progress.checksFencing() || state.highestFencing() >= progress.fencing();
        return expired && earlierSendsFenced;
    }

    /** Returns whether the order may be sent; never after an in-flight send if the engine ignores fencing tokens. */
    private static boolean maySend(OrderProgress progress, int maxSendAttempts) {
        boolean mayRepeat = progress.checksFencing() || progress.hasNoInFlightSend();
        return mayRepeat && progress.sendAttempts() < maxSendAttempts;
    }

    /**
     * The next step for an order.
     *
     * @param kind the kind of step
     * @param result the outcome, present only for {@link Kind#SETTLE}
     */
    record Step(Kind kind, Optional<OrderResult> result) {
        /** Sends the order. */
        static final Step SEND = new Step(Kind.SEND, Optional.empty());

        /** Reads the state again later. */
        static final Step WAIT = new Step(Kind.WAIT, Optional.empty());

        /** Returns the step that journals the given outcome. */
        static Step settle(OrderResult result) {
            return new Step(Kind.SETTLE, Optional.of(result));
        }
    }

    /** The kinds of next step. */
    enum Kind {
        /** Sends the order. */
        SEND,
        /** Reads the state again later. */
        WAIT,
        /** Journals the outcome. */
        SETTLE
    }
}
