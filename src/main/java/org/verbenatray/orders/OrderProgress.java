package org.verbenatray.orders;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * The send attempts of one order so far and the last response to them.
 *
 * @param order the order
 * @param orderId the id of the order
 * @param fencing the fencing token with which the order is sent
 * @param checksFencing whether the engine rejects lower fencing tokens
 * @param resumed whether the order may have been sent before this execution, by this or a former lease holder
 * @param sendAttempts the number of send attempts of this execution
 * @param inFlightUntil the time until which sends without a response may still take effect, empty if there are none
 * @param lastResponse the last response of the engine, empty before the first
 */
record OrderProgress(
        Order order,
        String orderId,
        long fencing,
        boolean checksFencing,
        boolean resumed,
        int sendAttempts,
        Optional<Deadline> inFlightUntil,
        Optional<OrderResponse> lastResponse) {

    /** Returns the progress of a newly journalled order, which was never sent. */
    static OrderProgress initial(OutstandingOrder outstanding, Order order, boolean checksFencing) {
        return new OrderProgress(
                order,
                outstanding.orderId(),
                outstanding.offset(),
                checksFencing,
                false,
                0,
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns the progress of an outstanding order that an earlier execution may have sent.
     *
     * <p>The order is sent again with a fencing token that is at least that of the current lease, so that an engine
     * that has received it rejects sends of former lease holders.
     */
    static OrderProgress resumed(
            OutstandingOrder outstanding, Order order, boolean checksFencing, long leaseFencing, Deadline copiesUntil) {
        return new OrderProgress(
                order,
                outstanding.orderId(),
                Math.max(leaseFencing, outstanding.offset()),
                checksFencing,
                true,
                0,
                Optional.of(copiesUntil),
                Optional.empty());
    }

    /** Returns the progress after a send to which the engine responded. */
    OrderProgress withResponse(OrderResponse response) {
        return withAttempt(inFlightUntil, Optional.of(response));
    }

    /** Returns the progress after a send attempt of which no byte was written. */
    OrderProgress withUnsentAttempt() {
        return withAttempt(inFlightUntil, lastResponse);
    }

    /** Returns the progress after a send without a response, which may take effect until the given time. */
    OrderProgress withUnansweredAttempt(Deadline until) {
        return withAttempt(Optional.of(until), lastResponse);
    }

    /** Returns whether every send so far, also of earlier executions, got a response or was never written. */
    boolean hasNoInFlightSend() {
        return !resumed && inFlightUntil.isEmpty();
    }

    /** Returns whether the order was never written to the engine. */
    boolean neverSent() {
        return hasNoInFlightSend() && lastResponse.isEmpty();
    }

    private OrderProgress withAttempt(Optional<Deadline> until, Optional<OrderResponse> response) {
        return new OrderProgress(order, orderId, fencing, checksFencing, resumed, sendAttempts + 1, until, response);
    }
}
