package org.verbenatray.orders;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.authority.Authority;
import org.verbenatray.log.RecordBody.OrderResult;
import org.verbenatray.orders.OrderSettlement.Step;
import org.verbenatray.time.Deadline;

/**
 * Carries one journalled order out until its outcome is certain. The steps run one after the other on the scheduler.
 */
final class OrderExecution {
    /** The rest of the instance. */
    private final OrderPorts ports;

    /** The engine. */
    private final OrderTarget target;

    /** The fencing number of the lease under which this execution sends. */
    private final long leaseFencing;

    /** The time after which the order is left outstanding. */
    private final Deadline giveUp;

    /** The outcome. */
    private final CompletableFuture<OrderResult> result = new CompletableFuture<>();

    /** What is known of the copies. */
    private volatile OrderProgress progress;

    /** Creates an execution. */
    private OrderExecution(OrderPorts ports, OrderTarget target, long leaseFencing, OrderProgress progress) {
        this.ports = ports;
        this.target = target;
        this.leaseFencing = leaseFencing;
        this.progress = progress;
        this.giveUp = ports.timing().inMillis(ports.bounds().executionMillis());
    }

    /** Returns an execution that has not begun. */
    static OrderExecution create(OrderPorts ports, OrderTarget target, long leaseFencing, OrderProgress progress) {
        return new OrderExecution(ports, target, leaseFencing, progress);
    }

    /** Begins; the future fails with an {@link OrderException} when the order stays outstanding. */
    CompletableFuture<OrderResult> start() {
        readState();
        return result;
    }

    /** Returns the time until which copies of the order may still act, empty when there are none. */
    Optional<Deadline> copiesUntil() {
        return progress.copiesUntil();
    }

    /** Reads the engine's state. */
    private void readState() {
        long startedNanos = now();
        CompletableFuture.completedFuture(target.engine())
                .thenCompose(ports.engines()::state)
                .whenComplete((state, failure) -> soon(() -> stateRead(state, failure, startedNanos)));
    }

    /** Takes the next step after the state was read. */
    private void stateRead(EngineOrderState state, Throwable failure, long startedNanos) {
        if (failure != null) {
            readAgain();
            return;
        }
        Step step = OrderSettlement.next(
                progress, state, startedNanos, ports.bounds().maxSends());
        switch (step.kind()) {
            case SEND -> sendUnderAuthority();
            case WAIT -> readAgain();
            case SETTLE -> result.complete(step.result().orElseThrow());
        }
    }

    /** Reads the state again later, unless the time is up. */
    private void readAgain() {
        if (ports.timing().passed(giveUp)) {
            giveUp();
            return;
        }
        ports.timing().scheduler().runAt(ports.timing().inMillis(ports.bounds().pollMillis()), this::readState);
    }

    /** Ends the execution because its time is up. */
    private void giveUp() {
        if (progress.neverWritten()) {
            result.complete(OrderResult.NOT_RUN);
            return;
        }
        fail(OrderException.Kind.UNSETTLED, "the engine did not settle the order in time: settle it again later");
    }

    /** Sends the order if the authority holds at this moment. */
    private void sendUnderAuthority() {
        Optional<Authority> authority = ports.authority().apply(now());
        boolean allowed = authority.isPresent()
                && authority.get().fencing() == leaseFencing
                && authority.get().covers(target.checksFencing());
        if (allowed) {
            send();
            return;
        }
        if (progress.noCopyExists()) {
            result.complete(OrderResult.NOT_RUN);
            return;
        }
        fail(OrderException.Kind.NO_AUTHORITY, "the lease was lost: the next holder settles the order");
    }

    /** Sends one copy. */
    private void send() {
        CompletableFuture.completedFuture(progress)
                .thenCompose(
                        copy -> ports.engines().send(target.engine(), copy.order(), copy.fencing(), copy.orderId()))
                .whenComplete((reply, failure) -> soon(() -> sent(reply, failure)));
    }

    /** Takes the answer to a copy into account. */
    private void sent(OrderReply reply, Throwable failure) {
        if (failure != null) {
            progress = withoutAnswer(failure);
            readAgain();
            return;
        }
        progress = progress.answered(reply);
        if (reply == OrderReply.REFUSED_OLD_FENCING) {
            fail(OrderException.Kind.NO_AUTHORITY, "the engine obeys a newer holder: leave it to that instance");
            return;
        }
        readState();
    }

    /** Returns the progress after a send that failed. */
    private OrderProgress withoutAnswer(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof OrderNotSentException) {
            return progress.notSent();
        }
        long nowNanos = now();
        return progress.unanswered(Deadline.afterMillis(nowNanos, ports.bounds().copyLifetimeMillis()));
    }

    /** Runs a step on the scheduler. */
    private void soon(Runnable step) {
        ports.timing().scheduler().runAt(ports.timing().inMillis(0), step);
    }

    /** Returns the monotonic time. */
    private long now() {
        return ports.timing().ticker().nanos();
    }

    /** Ends the execution and leaves the order outstanding. */
    private void fail(OrderException.Kind kind, String message) {
        result.completeExceptionally(new OrderException(kind, "order " + progress.orderId() + ": " + message));
    }
}
