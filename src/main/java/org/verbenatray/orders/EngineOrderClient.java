package org.verbenatray.orders;

import java.util.concurrent.CompletableFuture;

/** Client of the engines' order interface. Every returned future completes within a bounded time. */
public interface EngineOrderClient {
    /**
     * Sends an order once, without retries, on a connection that is closed if no response arrives.
     *
     * <p>The fencing token increases with every order to an engine. An engine that checks fencing tokens rejects a
     * token lower than the highest one it has received, and ignores an order that has the id of the last order that
     * took effect.
     *
     * <p>The future fails with an {@link OrderNotSentException} if no byte of the order was written, and with any
     * other exception if it is unknown whether the order takes effect.
     */
    CompletableFuture<OrderResponse> send(String engine, Order order, long fencing, String orderId);

    /** Reads the state of an engine. The future fails if the engine does not respond. */
    CompletableFuture<EngineOrderState> readState(String engine);
}
