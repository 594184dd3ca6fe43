package org.verbenatray.orders;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.verbenatray.authority.Authority;
import org.verbenatray.log.NotAppendedException;
import org.verbenatray.log.RecordBody;
import org.verbenatray.log.RecordBody.OrderIntent;
import org.verbenatray.log.RecordBody.OrderOutcome;
import org.verbenatray.log.RecordBody.OrderResult;
import org.verbenatray.log.Verdict;
import org.verbenatray.time.Deadline;

/**
 * Executes orders to engines under the authority of a lease: journals the intent in the log, sends the order, reads the
 * engine's state until the outcome is certain, and journals the outcome.
 *
 * <p>At most one order per engine is executed at a time. Thread-safe.
 */
public final class OrderExecutor {
    /** The maximum number of stored results that could not be journalled; the oldest is dropped first. */
    private static final int MAX_CERTAIN_RESULTS = 4_096;

    private final OrderDependencies dependencies;

    /** The engines to which this instance is executing an order. */
    private final Set<String> busyEngines = new HashSet<>();

    /** Results that are certain but possibly not journalled, by order id. */
    private final Map<String, CertainResult> certainResults = new LinkedHashMap<>();

    /** The time until which sends of ended executions may still take effect, empty if there are none. */
    private Optional<Deadline> inFlightUntil = Optional.empty();

    private OrderExecutor(OrderDependencies dependencies) {
        this.dependencies = dependencies;
    }

    /** Returns an executor with no orders in progress. */
    public static OrderExecutor create(OrderDependencies dependencies) {
        return new OrderExecutor(dependencies);
    }

    /**
     * Executes an order, after settling the engine's outstanding order if there is one.
     *
     * <p>The future fails with an {@link OrderException} if the order was not journalled or stays outstanding.
     *
     * @param reason the reason for the order, for human readers of the log
     */
    public CompletableFuture<OrderResult> execute(OrderTarget target, Order order, String reason) {
        return runExclusively(
                target,
                authority -> settleOutstanding(target, authority)
                        .thenCompose(settled -> journalAndRun(target, order, reason, authority)));
    }

    /** Settles the outstanding order of an engine and returns its outcome; empty if there is none. */
    public CompletableFuture<Optional<OrderResult>> settle(OrderTarget target) {
        return runExclusively(target, authority -> settleOutstanding(target, authority));
    }

    /** Returns whether no order of this instance is in progress or can still take effect on an engine. */
    public synchronized boolean hasNoInFlightOrders(long nowNanos) {
        boolean noneInFlight = inFlightUntil.isEmpty() || inFlightUntil.get().hasPassed(nowNanos);
        return busyEngines.isEmpty() && noneInFlight;
    }

    /** Runs a task for an engine; fails if another one is running for it or there is no authority. */
    private <T> CompletableFuture<T> runExclusively(OrderTarget target, AuthorizedTask<T> task) {
        if (!markBusy(target.engine())) {
            return failed(OrderException.Kind.BUSY, target.engine(), "another order is running: wait for its outcome");
        }
        // The engine is marked busy before the check of the authority, so that the lease is not released between that
        // check and a send.
        return CompletableFuture.completedFuture(target)
                .thenCompose(engine -> runIfAuthorized(engine, task))
                .whenComplete((value, failure) -> markIdle(target.engine()));
    }

    /** Runs a task if this instance has authority over the engine. */
    private <T> CompletableFuture<T> runIfAuthorized(OrderTarget target, AuthorizedTask<T> task) {
        Optional<Authority> authority =
                dependencies.authority().apply(dependencies.timing().ticker().nanos());
        boolean covered = authority.isPresent() && authority.get().covers(target.checksFencing());
        if (!covered) {
            return failed(
                    OrderException.Kind.NO_AUTHORITY,
                    target.engine(),
                    "no authority: leave the engine to the lease holder");
        }
        return task.run(authority.get());
    }

    /** Settles the outstanding order of an engine, if any, from a stored result or by executing it again. */
    private CompletableFuture<Optional<OrderResult>> settleOutstanding(OrderTarget target, Authority authority) {
        Optional<OutstandingOrder> outstanding =
                dependencies.journal().apply(target.engine()).flatMap(EngineJournal::outstanding);
        if (outstanding.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        OutstandingOrder order = outstanding.get();
        if (!order.lease().equals(authority.lease())) {
            return failed(
                    OrderException.Kind.NO_AUTHORITY,
                    target.engine(),
                    "settle the order of lease " + order.lease() + " first");
        }
        Optional<OrderResult> known = certainResult(order.orderId(), authority.fencing());
        if (known.isPresent()) {
            return journalOutcome(order, authority, known.get()).thenApply(Optional::of);
        }
        return run(target, order, authority, resumedProgress(target, order, authority))
                .thenApply(Optional::of);
    }

    /** Returns the progress of an outstanding order that an earlier execution may have sent. */
    private OrderProgress resumedProgress(OrderTarget target, OutstandingOrder order, Authority authority) {
        Deadline until =
                dependencies.timing().deadlineAfterMillis(dependencies.bounds().maxInFlightMillis());
        Order parsed = Order.parse(order.action()).orElseThrow();
        return OrderProgress.resumed(order, parsed, target.checksFencing(), authority.fencing(), until);
    }

    /** Journals the intent and executes the order once the intent is accepted. */
    private CompletableFuture<OrderResult> journalAndRun(
            OrderTarget target, Order order, String reason, Authority authority) {
        String orderId = UUID.randomUUID().toString();
        OrderIntent intent = new OrderIntent(
                orderId, authority.lease(), authority.fencing(), target.engine(), order.action(), reason);
        Optional<Long> follows = dependencies.journal().apply(target.engine()).map(EngineJournal::lastOffset);
        return append(intent, follows)
                .exceptionallyCompose(failure -> handleUnknownIntent(target, orderId, authority, failure))
                .thenCompose(verdict -> runJournalled(target, intent, order, authority, verdict));
    }

    /**
     * Fails an order whose intent got no verdict. Unless the intent was certainly not appended, the log may still
     * accept it later; this instance never sends the order, so its result is stored as not run.
     */
    private CompletableFuture<Verdict> handleUnknownIntent(
            OrderTarget target, String orderId, Authority authority, Throwable failure) {
        if (!(cause(failure) instanceof NotAppendedException)) {
            storeResult(orderId, authority.fencing(), OrderResult.NOT_RUN);
        }
        return failed(
                OrderException.Kind.NOT_JOURNALLED,
                target.engine(),
                cause(failure).getMessage());
    }

    /** Executes an order if its intent was accepted. */
    private CompletableFuture<OrderResult> runJournalled(
            OrderTarget target, OrderIntent intent, Order order, Authority authority, Verdict verdict) {
        if (!verdict.isAccepted()) {
            String detail = verdict.rejection().orElseThrow().detail();
            return failed(OrderException.Kind.NOT_JOURNALLED, target.engine(), detail);
        }
        OutstandingOrder outstanding = new OutstandingOrder(
                intent.orderId(), intent.engine(), intent.lease(), verdict.offset(), intent.action());
        OrderProgress progress = OrderProgress.initial(outstanding, order, target.checksFencing());
        return run(target, outstanding, authority, progress);
    }

    /** Executes a journalled order and journals its outcome. */
    private CompletableFuture<OrderResult> run(
            OrderTarget target, OutstandingOrder order, Authority authority, OrderProgress progress) {
        OrderExecution execution = OrderExecution.create(dependencies, target, authority.fencing(), progress);
        return execution
                .start()
                .whenComplete((result, failure) -> extendInFlightUntil(execution.inFlightUntil()))
                .thenCompose(result -> journalOutcome(order, authority, result));
    }

    /** Journals an outcome that is certain; the result is kept until the log accepts it. */
    private CompletableFuture<OrderResult> journalOutcome(
            OutstandingOrder order, Authority authority, OrderResult result) {
        storeResult(order.orderId(), authority.fencing(), result);
        OrderOutcome outcome =
                new OrderOutcome(order.orderId(), order.lease(), authority.fencing(), order.engine(), result);
        return append(outcome, Optional.empty())
                .exceptionallyCompose(failure -> failed(
                        OrderException.Kind.UNSETTLED,
                        order.engine(),
                        order.orderId() + " ended as " + result + " but was not journalled: "
                                + cause(failure).getMessage()))
                .thenCompose(verdict -> handleOutcomeVerdict(order, result, verdict));
    }

    /** Returns the result of an order if its outcome was accepted; fails otherwise. */
    private CompletableFuture<OrderResult> handleOutcomeVerdict(
            OutstandingOrder order, OrderResult result, Verdict verdict) {
        if (verdict.isAccepted()) {
            removeResult(order.orderId());
            return CompletableFuture.completedFuture(result);
        }
        String detail = verdict.rejection().orElseThrow().detail();
        return CompletableFuture.failedFuture(new OrderException(
                OrderException.Kind.UNSETTLED,
                "order " + order.orderId() + " ended as " + result + " but was not journalled: " + detail));
    }

    /** Appends a record. The future completes on the scheduler, so that no step runs under the appender's lock. */
    private CompletableFuture<Verdict> append(RecordBody body, Optional<Long> follows) {
        CompletableFuture<Verdict> result = new CompletableFuture<>();
        Deadline deadline =
                dependencies.timing().deadlineAfterMillis(dependencies.bounds().appendTimeoutMillis());
        dependencies
                .appender()
                .submit(body, follows, deadline)
                .whenComplete((verdict, failure) -> dependencies
                        .timing()
                        .scheduler()
                        .runAt(dependencies.timing().deadlineAfterMillis(0), () -> complete(result, verdict, failure)));
        return result;
    }

    private static <T> void complete(CompletableFuture<T> future, T value, Throwable failure) {
        if (failure == null) {
            future.complete(value);
            return;
        }
        future.completeExceptionally(failure);
    }

    /** Returns the failure without the wrapper added by a chain of futures. */
    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }

    /** Marks an engine as busy; returns false if it already is. */
    private synchronized boolean markBusy(String engine) {
        return busyEngines.add(engine);
    }

    private synchronized void markIdle(String engine) {
        busyEngines.remove(engine);
    }

    /** Stores a result until it is journalled. */
    private synchronized void storeResult(String orderId, long fencing, OrderResult result) {
        certainResults.put(orderId, new CertainResult(fencing, result));
        if (certainResults.size() > MAX_CERTAIN_RESULTS) {
            certainResults.remove(certainResults.keySet().iterator().next());
        }
    }

    private synchronized void removeResult(String orderId) {
        certainResults.remove(orderId);
    }

    /** Returns the stored result of an order; empty if another lease holder may have sent the order since. */
    private synchronized Optional<OrderResult> certainResult(String orderId, long fencing) {
        return Optional.ofNullable(certainResults.get(orderId))
                .filter(certain -> certain.fencing() == fencing)
                .map(CertainResult::result);
    }

    /** Extends the in-flight time to that of an ended execution. */
    private synchronized void extendInFlightUntil(Optional<Deadline> until) {
        boolean later = until.isPresent()
                && (inFlightUntil.isEmpty()
                        || until.get().atNanos() - inFlightUntil.get().atNanos() > 0);
        if (later) {
            inFlightUntil = until;
        }
    }

    private static <T> CompletableFuture<T> failed(OrderException.Kind kind, String engine, String message) {
        return CompletableFuture.failedFuture(new OrderException(kind, "engine " + engine + ": " + message));
    }

    /**
     * A result that is certain as long as no other instance has claimed the lease.
     *
     * @param fencing the fencing token of the lease under which it was determined
     * @param result the outcome of the order
     */
    private record CertainResult(long fencing, OrderResult result) {}

    /**
     * A task that needs authority.
     *
     * @param <T> the type of the result
     */
    @FunctionalInterface
    private interface AuthorizedTask<T> {
        /** Runs the task. */
        CompletableFuture<T> run(Authority authority);
    }
}
