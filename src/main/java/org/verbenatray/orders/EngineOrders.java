package org.verbenatray.orders;

import java.util.concurrent.CompletableFuture;

/** The orders interface of the engines. Every future completes within a bounded time. */
public interface EngineOrders {
    /**
     * Sends an order once, without retries, on a connection that is closed when no answer comes.
     *
     * <p>The fencing number rises with every order to an engine. An engine that checks it refuses a lower number than
     * the highest it saw, and ignores an order whose id equals that of the last order that took effect.
     *
     * <p>The future fails with an {@link OrderNotSentException} when no byte of the order was written, and with any
     * other exception when it is unknown whether the order takes effect.
     */
    CompletableFuture<OrderReply> send(String engine, Order order, long fencing, String orderId);

    /** Reads the state of an engine; the future fails when the engine does not answer. */
    CompletableFuture<EngineOrderState> state(String engine);
}
