package org.verbenatray.servers;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.orders.EngineOrderClient;
import org.verbenatray.orders.EngineOrderState;
import org.verbenatray.orders.Order;
import org.verbenatray.orders.OrderNotSentException;
import org.verbenatray.orders.OrderResponse;
import org.verbenatray.time.Deadline;

/** Sends orders to engines over HTTP as JSON, each on a new connection. */
public final class HttpEngineOrders implements EngineOrderClient {
    /** The path of orders on an engine. */
    public static final String ORDERS_PATH = "/orders";

    /** The status of an order that was rejected because its fencing token is outdated. */
    public static final int STALE_FENCING_STATUS = 412;

    /** The status of an order that was refused for another reason. */
    public static final int REFUSED_STATUS = 409;

    /** The status of an order that was executed or is being executed. */
    private static final int ACCEPTED_STATUS = 200;

    private static final long EXCHANGE_TIMEOUT_MILLIS = 2_000;

    private static final int MAX_RESPONSE_BYTES = 256 * 1024;

    private final HttpTransport transport;

    /** Returns the base URI of an engine, or empty if the engine is not configured. */
    private final Function<String, Optional<String>> addresses;

    private HttpEngineOrders(HttpTransport transport, Function<String, Optional<String>> addresses) {
        this.transport = transport;
        this.addresses = addresses;
    }

    /**
     * Returns a client.
     *
     * @param addresses returns the base URI of an engine, or empty if the engine is not configured
     */
    public static HttpEngineOrders create(HttpTransport transport, Function<String, Optional<String>> addresses) {
        return new HttpEngineOrders(transport, addresses);
    }

    @Override
    public CompletableFuture<OrderResponse> send(String engine, Order order, long fencing, String orderId) {
        Optional<String> address = addresses.apply(engine);
        if (address.isEmpty()) {
            return CompletableFuture.failedFuture(notConfigured(engine));
        }
        String body = RecordCodec.encode(new SentOrder(orderId, fencing, order.action()));
        return exchange(HttpCall.json("POST", address.get(), ORDERS_PATH, body)).handle((response, failure) -> {
            if (failure != null) {
                throw new CompletionException(orderFailure(failure));
            }
            return switch (response.status()) {
                case ACCEPTED_STATUS -> OrderResponse.DONE;
                case STALE_FENCING_STATUS -> OrderResponse.REFUSED_OLD_FENCING;
                case REFUSED_STATUS -> OrderResponse.REFUSED;
                default -> throw unknownStatus(engine, response.status());
            };
        });
    }

    @Override
    public CompletableFuture<EngineOrderState> readState(String engine) {
        Optional<String> address = addresses.apply(engine);
        if (address.isEmpty()) {
            return CompletableFuture.failedFuture(notConfigured(engine));
        }
        return exchange(HttpCall.withoutBody("GET", address.get(), ORDERS_PATH))
                .thenApply(response -> RecordCodec.decode(response.text(), EngineOrderState.class));
    }

    private CompletableFuture<BufferedResponse> exchange(HttpCall call) {
        Deadline deadline = Deadline.afterMillis(transport.ticker().nanos(), EXCHANGE_TIMEOUT_MILLIS);
        return transport.call(call.onNewConnection(), transport.anyThread(), deadline, MAX_RESPONSE_BYTES);
    }

    /** Returns the failure for a status that doesn't show whether the order is executed. */
    private static CompletionException unknownStatus(String engine, int status) {
        return new CompletionException(ServerFailure.create(
                ServerFailure.Kind.BAD_RESPONSE, "engine " + engine + " responded to an order with status " + status));
    }

    /** Returns the failure to report, which distinguishes orders that were not sent from those that may have been. */
    private static Throwable orderFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof ServerFailure known && known.kind() == ServerFailure.Kind.NOT_CONNECTED;
        return notSent ? new OrderNotSentException(cause.getMessage(), cause) : cause;
    }

    private static OrderNotSentException notConfigured(String engine) {
        return new OrderNotSentException("engine " + engine + " is not configured; add it to the folder", null);
    }

    /**
     * Body of an order on the wire.
     *
     * @param orderId the id of the order
     * @param fencing the fencing token
     * @param action the action that the engine has to execute
     */
    public record SentOrder(String orderId, long fencing, String action) {}
}
