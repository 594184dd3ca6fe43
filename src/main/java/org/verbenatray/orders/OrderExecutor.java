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
 * Orders engines under the authority of a lease: journals the intent, sends, reads the engine's state until the outcome
 * is certain, and journals the outcome.
 */
public final class OrderExecutor {
    /** The bound on the remembered results whose journalling failed. */
    private static final int MAX_CONCLUDED = 4_096;

    /** The rest of the instance. */
    private final OrderPorts ports;

    /** The engines that have an order running at this instance. */
    private final Set<String> running = new HashSet<>();

    /** The results that are certain but perhaps not journalled, by order id. */
    private final Map<String, Conclusion> concluded = new LinkedHashMap<>();

    /** The time until which copies of ended executions may still act, empty when there are none. */
    private Optional<Deadline> copiesUntil = Optional.empty();

    /** Creates an executor. */
    private OrderExecutor(OrderPorts ports) {
        this.ports = ports;
    }

    /** Returns an executor without running orders. */
    public static OrderExecutor create(OrderPorts ports) {
        return new OrderExecutor(ports);
    }

    /**
     * Carries out an order, after a former order of the engine was settled.
     *
     * <p>The future fails with an {@link OrderException} when the order was not journalled or stays outstanding.
     *
     * @param reason why, for people
     */
    public CompletableFuture<OrderResult> execute(OrderTarget target, Order order, String reason) {
        return exclusively(
                target,
                authority -> settleOutstanding(target, authority)
                        .thenCompose(settled -> journalAndRun(target, order, reason, authority)));
    }

    /** Settles the outstanding order of an engine; empty when there is none. */
    public CompletableFuture<Optional<OrderResult>> settle(OrderTarget target) {
        return exclusively(target, authority -> settleOutstanding(target, authority));
    }

    /** Returns whether no order of this instance can still reach an engine. */
    public synchronized boolean isQuiet(long nowNanos) {
        boolean copiesDead = copiesUntil.isEmpty() || copiesUntil.get().passed(nowNanos);
        return running.isEmpty() && copiesDead;
    }

    /** Runs one task for an engine unless another one runs or there is no authority. */
    private <T> CompletableFuture<T> exclusively(OrderTarget target, AuthorisedTask<T> task) {
        if (!begin(target.engine())) {
            return failed(OrderException.Kind.BUSY, target.engine(), "another order is running: wait for its outcome");
        }
        // The engine counts as busy from here on, so that a lease is not released between this check and a send.
        return CompletableFuture.completedFuture(target)
                .thenCompose(free -> authorised(free, task))
                .whenComplete((value, failure) -> end(target.engine()));
    }

    /** Runs a task if there is authority. */
    private <T> CompletableFuture<T> authorised(OrderTarget target, AuthorisedTask<T> task) {
        Optional<Authority> authority =
                ports.authority().apply(ports.timing().ticker().nanos());
        boolean covered = authority.isPresent() && authority.get().covers(target.checksFencing());
        if (!covered) {
            return failed(
                    OrderException.Kind.NO_AUTHORITY, target.engine(), "no authority: leave it to the lease's holder");
        }
        return task.run(authority.get());
    }

    /** Settles the outstanding order of an engine. */
    private CompletableFuture<Optional<OrderResult>> settleOutstanding(OrderTarget target, Authority authority) {
        Optional<OutstandingOrder> outstanding =
                ports.journal().apply(target.engine()).flatMap(EngineJournal::outstanding);
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
        Optional<OrderResult> known = concluded(order.orderId(), authority.fencing());
        if (known.isPresent()) {
            return journalOutcome(order, authority, known.get()).thenApply(Optional::of);
        }
        return run(target, order, authority, takenOver(target, order, authority))
                .thenApply(Optional::of);
    }

    /** Returns the progress of an order of which earlier executions may have sent copies. */
    private OrderProgress takenOver(OrderTarget target, OutstandingOrder order, Authority authority) {
        Deadline until = ports.timing().inMillis(ports.bounds().copyLifetimeMillis());
        Order parsed = Order.parse(order.action()).orElseThrow();
        return OrderProgress.takenOver(order, parsed, target.checksFencing(), authority.fencing(), until);
    }

    /** Journals the intent and carries the order out once it is accepted. */
    private CompletableFuture<OrderResult> journalAndRun(
            OrderTarget target, Order order, String reason, Authority authority) {
        String orderId = UUID.randomUUID().toString();
        OrderIntent intent = new OrderIntent(
                orderId, authority.lease(), authority.fencing(), target.engine(), order.action(), reason);
        Optional<Long> follows = ports.journal().apply(target.engine()).map(EngineJournal::lastOffset);
        return append(intent, follows)
                .exceptionallyCompose(failure -> intentUnanswered(target, orderId, authority, failure))
                .thenCompose(verdict -> runJournalled(target, intent, order, authority, verdict));
    }

    /** Fails an order whose intent was not judged in time; it may be accepted later, but is never sent from here. */
    private CompletableFuture<Verdict> intentUnanswered(
            OrderTarget target, String orderId, Authority authority, Throwable failure) {
        if (!(cause(failure) instanceof NotAppendedException)) {
            remember(orderId, authority.fencing(), OrderResult.NOT_RUN);
        }
        return failed(
                OrderException.Kind.NOT_JOURNALLED,
                target.engine(),
                cause(failure).getMessage());
    }

    /** Carries out an order whose intent was judged. */
    private CompletableFuture<OrderResult> runJournalled(
            OrderTarget target, OrderIntent intent, Order order, Authority authority, Verdict verdict) {
        if (!verdict.isAccepted()) {
            String detail = verdict.rejection().orElseThrow().detail();
            return failed(OrderException.Kind.NOT_JOURNALLED, target.engine(), detail);
        }
        OutstandingOrder outstanding = new OutstandingOrder(
                intent.orderId(), intent.engine(), intent.lease(), verdict.offset(), intent.action());
        OrderProgress progress = OrderProgress.fresh(outstanding, order, target.checksFencing());
        return run(target, outstanding, authority, progress);
    }

    /** Carries out a journalled order and journals its outcome. */
    private CompletableFuture<OrderResult> run(
            OrderTarget target, OutstandingOrder order, Authority authority, OrderProgress progress) {
        OrderExecution execution = OrderExecution.create(ports, target, authority.fencing(), progress);
        return execution
                .start()
                .whenComplete((result, failure) -> rememberCopies(execution.copiesUntil()))
                .thenCompose(result -> journalOutcome(order, authority, result));
    }

    /** Journals an outcome that is certain. */
    private CompletableFuture<OrderResult> journalOutcome(
            OutstandingOrder order, Authority authority, OrderResult result) {
        remember(order.orderId(), authority.fencing(), result);
        OrderOutcome outcome =
                new OrderOutcome(order.orderId(), order.lease(), authority.fencing(), order.engine(), result);
        return append(outcome, Optional.empty())
                .exceptionallyCompose(failure -> failed(
                        OrderException.Kind.UNSETTLED,
                        order.engine(),
                        order.orderId() + " ended as " + result + " but was not journalled: "
                                + cause(failure).getMessage()))
                .thenCompose(verdict -> journalled(order, result, verdict));
    }

    /** Returns the result of an order whose outcome was judged. */
    private CompletableFuture<OrderResult> journalled(OutstandingOrder order, OrderResult result, Verdict verdict) {
        if (verdict.isAccepted()) {
            forget(order.orderId());
            return CompletableFuture.completedFuture(result);
        }
        String detail = verdict.rejection().orElseThrow().detail();
        return CompletableFuture.failedFuture(new OrderException(
                OrderException.Kind.UNSETTLED,
                "order " + order.orderId() + " ended as " + result + " but was not journalled: " + detail));
    }

    /** Appends a record; the future completes on the scheduler, so that no step runs under the appender's lock. */
    private CompletableFuture<Verdict> append(RecordBody body, Optional<Long> follows) {
        CompletableFuture<Verdict> moved = new CompletableFuture<>();
        Deadline deadline = ports.timing().inMillis(ports.bounds().journalMillis());
        ports.appender()
                .submit(body, follows, deadline)
                .whenComplete((verdict, failure) -> ports.timing()
                        .scheduler()
                        .runAt(ports.timing().inMillis(0), () -> complete(moved, verdict, failure)));
        return moved;
    }

    /** Completes a future with a value or a failure. */
    private static <T> void complete(CompletableFuture<T> future, T value, Throwable failure) {
        if (failure == null) {
            future.complete(value);
            return;
        }
        future.completeExceptionally(failure);
    }

    /** Returns the failure that a chain of futures wrapped. */
    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException ? failure.getCause() : failure;
    }

    /** Marks an engine as busy; returns false when it is so already. */
    private synchronized boolean begin(String engine) {
        return running.add(engine);
    }

    /** Marks an engine as no longer busy. */
    private synchronized void end(String engine) {
        running.remove(engine);
    }

    /** Remembers a result until it is journalled. */
    private synchronized void remember(String orderId, long fencing, OrderResult result) {
        concluded.put(orderId, new Conclusion(fencing, result));
        if (concluded.size() > MAX_CONCLUDED) {
            concluded.remove(concluded.keySet().iterator().next());
        }
    }

    /** Forgets a journalled result. */
    private synchronized void forget(String orderId) {
        concluded.remove(orderId);
    }

    /** Returns a result that is certain, unless another holder may have repeated the order since. */
    private synchronized Optional<OrderResult> concluded(String orderId, long fencing) {
        return Optional.ofNullable(concluded.get(orderId))
                .filter(conclusion -> conclusion.fencing() == fencing)
                .map(Conclusion::result);
    }

    /** Remembers the time until which copies of an ended execution may still act. */
    private synchronized void rememberCopies(Optional<Deadline> until) {
        boolean later = until.isPresent()
                && (copiesUntil.isEmpty()
                        || until.get().atNanos() - copiesUntil.get().atNanos() > 0);
        if (later) {
            copiesUntil = until;
        }
    }

    /** Returns a failed future. */
    private static <T> CompletableFuture<T> failed(OrderException.Kind kind, String engine, String message) {
        return CompletableFuture.failedFuture(new OrderException(kind, "engine " + engine + ": " + message));
    }

    /**
     * A result that is certain as long as no other instance holds the lease.
     *
     * @param fencing the fencing number under which it was found
     * @param result the result
     */
    private record Conclusion(long fencing, OrderResult result) {}

    /**
     * A task that needs authority.
     *
     * @param <T> the type of its result
     */
    @FunctionalInterface
    private interface AuthorisedTask<T> {
        /** Runs the task. */
        CompletableFuture<T> run(Authority authority);
    }
}
