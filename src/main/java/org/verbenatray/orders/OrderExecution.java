package org.verbenatray.orders;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.authority.Authority;
import org.verbenatray.log.RecordBody.OrderResult;
import org.verbenatray.orders.OrderSettlement.Step;
import org.verbenatray.time.Deadline;

/**
 * Executes one journalled order: reads the engine's state and sends the order until the outcome is certain or the
 * execution times out. The steps run one at a time on the scheduler.
 */
final class OrderExecution {
    private final OrderDependencies dependencies;

    private final OrderTarget target;

    /** The fencing token of the lease under which this execution sends. */
    private final long leaseFencing;

    /** The time after which the execution stops and leaves the order outstanding. */
    private final Deadline executionDeadline;

    private final CompletableFuture<OrderResult> result = new CompletableFuture<>();

    private volatile OrderProgress progress;

    private OrderExecution(
            OrderDependencies dependencies, OrderTarget target, long leaseFencing, OrderProgress progress) {
        this.dependencies = dependencies;
        this.target = target;
        this.leaseFencing = leaseFencing;
        this.progress = progress;
        this.executionDeadline =
                dependencies.timing().deadlineAfterMillis(dependencies.bounds().executionTimeoutMillis());
    }

    /** Returns an execution that has not been started. */
    static OrderExecution create(
            OrderDependencies dependencies, OrderTarget target, long leaseFencing, OrderProgress progress) {
        return new OrderExecution(dependencies, target, leaseFencing, progress);
    }

    /** Starts the execution. The future fails with an {@link OrderException} if the order stays outstanding. */
    CompletableFuture<OrderResult> start() {
        readState();
        return result;
    }

    /** Returns the time until which sends without a response may still take effect, empty if there are none. */
    Optional<Deadline> inFlightUntil() {
        return progress.inFlightUntil();
    }

    private void readState() {
        long startedNanos = nowNanos();
        CompletableFuture.completedFuture(target.engine())
                .thenCompose(dependencies.engines()::readState)
                .whenComplete((state, failure) -> runOnScheduler(() -> handleState(state, failure, startedNanos)));
    }

    /** Takes the next step after a read of the state; a failed read is retried. */
    private void handleState(EngineOrderState state, Throwable failure, long startedNanos) {
        if (failure != null) {
            scheduleRead();
            return;
        }
        Step step = OrderSettlement.nextStep(
                progress, state, startedNanos, dependencies.bounds().maxSendAttempts());
        switch (step.kind()) {
            case SEND -> sendIfAuthorized();
            case WAIT -> scheduleRead();
            case SETTLE -> result.complete(step.result().orElseThrow());
        }
    }

    /** Schedules another read of the state, unless the execution has timed out. */
    private void scheduleRead() {
        if (dependencies.timing().hasPassed(executionDeadline)) {
            handleTimeout();
            return;
        }
        dependencies
                .timing()
                .scheduler()
                .runAt(
                        dependencies
                                .timing()
                                .deadlineAfterMillis(dependencies.bounds().pollIntervalMillis()),
                        this::readState);
    }

    /** Ends the execution after its timeout; an order that was never written to the engine did not run. */
    private void handleTimeout() {
        if (progress.neverSent()) {
            result.complete(OrderResult.NOT_RUN);
            return;
        }
        fail(OrderException.Kind.UNSETTLED, "the order was not settled in time: settle it again later");
    }

    /** Sends the order if this instance still has authority under the same lease claim. */
    private void sendIfAuthorized() {
        Optional<Authority> authority = dependencies.authority().apply(nowNanos());
        boolean allowed = authority.isPresent()
                && authority.get().fencing() == leaseFencing
                && authority.get().covers(target.checksFencing());
        if (allowed) {
            send();
            return;
        }
        if (progress.hasNoInFlightSend()) {
            result.complete(OrderResult.NOT_RUN);
            return;
        }
        fail(OrderException.Kind.NO_AUTHORITY, "the lease was lost: the next lease holder settles the order");
    }

    private void send() {
        CompletableFuture.completedFuture(progress)
                .thenCompose(sent ->
                        dependencies.engines().send(target.engine(), sent.order(), sent.fencing(), sent.orderId()))
                .whenComplete((response, failure) -> runOnScheduler(() -> handleResponse(response, failure)));
    }

    /** Handles the response to a send, or its failure. */
    private void handleResponse(OrderResponse response, Throwable failure) {
        if (failure != null) {
            progress = progressAfterFailure(failure);
            scheduleRead();
            return;
        }
        progress = progress.withResponse(response);
        if (response == OrderResponse.REFUSED_OLD_FENCING) {
            fail(
                    OrderException.Kind.NO_AUTHORITY,
                    "the engine accepts a newer lease holder: leave it to that instance");
            return;
        }
        readState();
    }

    private OrderProgress progressAfterFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof OrderNotSentException) {
            return progress.withUnsentAttempt();
        }
        long nowNanos = nowNanos();
        return progress.withUnansweredAttempt(
                Deadline.afterMillis(nowNanos, dependencies.bounds().maxInFlightMillis()));
    }

    private void runOnScheduler(Runnable step) {
        dependencies.timing().scheduler().runAt(dependencies.timing().deadlineAfterMillis(0), step);
    }

    private long nowNanos() {
        return dependencies.timing().ticker().nanos();
    }

    /** Ends the execution with a failure and leaves the order outstanding. */
    private void fail(OrderException.Kind kind, String message) {
        result.completeExceptionally(new OrderException(kind, "order " + progress.orderId() + ": " + message));
    }
}
