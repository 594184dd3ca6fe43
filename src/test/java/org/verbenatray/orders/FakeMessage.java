package org.verbenatray.orders;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** A request to an engine: first it is taken there, then its answer is brought back; either may be lost. */
final class FakeMessage {
    private final OrderWorld world;
    private final FakeInstance sender;
    private Optional<Supplier<Runnable>> request;
    private Optional<Runnable> answer = Optional.empty();
    private final Runnable failure;
    private boolean abandoned;
    private long departsMillis;
    private long expiresMillis = Long.MAX_VALUE;

    private FakeMessage(OrderWorld world, FakeInstance sender, Supplier<Runnable> request, Runnable failure) {
        this.world = world;
        this.sender = sender;
        this.request = Optional.of(request);
        this.failure = failure;
    }

    static FakeMessage order(
            OrderWorld world, FakeInstance sender, CompletableFuture<OrderReply> future, Supplier<OrderReply> action) {
        return of(world, sender, future, action);
    }

    static FakeMessage stateRead(
            OrderWorld world, FakeInstance sender, FakeEngine engine, CompletableFuture<EngineOrderState> future) {
        return of(world, sender, future, engine::state);
    }

    private static <T> FakeMessage of(
            OrderWorld world, FakeInstance sender, CompletableFuture<T> future, Supplier<T> action) {
        Supplier<Runnable> request = () -> {
            T reply = action.get();
            return () -> future.complete(reply);
        };
        return new FakeMessage(
                world, sender, request, () -> future.completeExceptionally(new IllegalStateException("no answer")));
    }

    /** Takes the request to the engine, or its answer back to a sender that runs. */
    void deliver() {
        if (request.isPresent()) {
            answer = Optional.of(request.get().get());
            request = Optional.empty();
            return;
        }
        if (abandoned || sender.killed) {
            world.messages.remove(this);
            return;
        }
        if (sender.runs()) {
            world.messages.remove(this);
            answer.orElseThrow().run();
        }
    }

    /** Lets the sender give up; the request may still arrive for a bounded time. */
    void loseAnswer() {
        if (!abandoned && departs() && sender.runs()) {
            world.count("answer lost");
            expireSoon();
            failure.run();
        }
    }

    /** Bounds the time in which the request may still arrive, less than the copies' lifetime by any clock. */
    void expireSoon() {
        abandoned = true;
        int lifetimeMillis = (int) OrderWorld.BOUNDS.copyLifetimeMillis() * 9 / 10;
        expiresMillis = world.nowMillis + lifetimeMillis;
        holdBack(world.random.nextInt(lifetimeMillis));
    }

    /** Holds the write back, as a pause between the check of the authority and the write does. */
    FakeMessage holdBack(long millis) {
        departsMillis = world.nowMillis + millis;
        return this;
    }

    /** Returns whether the sender's write, or the engine's answer, is no longer held back. */
    boolean departs() {
        return world.nowMillis >= departsMillis;
    }

    boolean expired() {
        return world.nowMillis >= expiresMillis;
    }

    boolean isFrom(FakeInstance instance) {
        return sender == instance && !abandoned;
    }
}
