package org.verbenatray.orders;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * What is known of the copies of one order.
 *
 * @param order the order
 * @param orderId the id of the order
 * @param fencing the number that its copies carry
 * @param checksFencing whether the engine refuses lower numbers
 * @param takenOver whether copies may have been sent before this execution, by a former holder or this one
 * @param sends the copies sent by this execution
 * @param copiesUntil the time until which copies without an answer may still act, empty when there are none
 * @param lastReply the last answer of the engine
 */
record OrderProgress(
        Order order,
        String orderId,
        long fencing,
        boolean checksFencing,
        boolean takenOver,
        int sends,
        Optional<Deadline> copiesUntil,
        Optional<OrderReply> lastReply) {

    /** Returns the progress of an order of which no copy was ever sent. */
    static OrderProgress fresh(OutstandingOrder outstanding, Order order, boolean checksFencing) {
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

    /** Returns the progress of an order of which copies may exist, repeated under the fencing number of the lease. */
    static OrderProgress takenOver(
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

    /** Returns the progress after a copy was answered. */
    OrderProgress answered(OrderReply reply) {
        return withSend(copiesUntil, Optional.of(reply));
    }

    /** Returns the progress after a copy of which no byte was written. */
    OrderProgress notSent() {
        return withSend(copiesUntil, lastReply);
    }

    /** Returns the progress after a copy that may still act until the given time. */
    OrderProgress unanswered(Deadline until) {
        return withSend(Optional.of(until), lastReply);
    }

    /** Returns whether no copy exists that may still act. */
    boolean noCopyExists() {
        return !takenOver && copiesUntil.isEmpty();
    }

    /** Returns whether no copy was ever written to the engine. */
    boolean neverWritten() {
        return noCopyExists() && lastReply.isEmpty();
    }

    /** Returns the progress after one more send. */
    private OrderProgress withSend(Optional<Deadline> until, Optional<OrderReply> reply) {
        return new OrderProgress(order, orderId, fencing, checksFencing, takenOver, sends + 1, until, reply);
    }
}
