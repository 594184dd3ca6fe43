package org.verbenatray.web;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads complete request bodies up to a size limit. */
public final class RequestBodies {
    /**
     * The bytes above the limit that the server still accepts, so that the error response is sent before the
     * connection closes.
     */
    private static final long DRAIN_ALLOWANCE_BYTES = 1024 * 1024;

    private RequestBodies() {}

    /**
     * Returns the entity size limit, in bytes, to configure in the server so that larger bodies are rejected with a
     * response instead of a closed connection.
     */
    public static long serverLimitBytes(long maxBodyBytes) {
        return maxBodyBytes + DRAIN_ALLOWANCE_BYTES;
    }

    /**
     * Reads the complete body and passes it to the receiver, on the exchange's I/O thread and after the handler has
     * returned. A body above the limit, or a failed read, is passed to {@code tooLargeOrBroken}, which can still send a
     * response if the connection is open.
     */
    public static void read(
            HttpServerExchange exchange,
            BiConsumer<HttpServerExchange, byte[]> receiver,
            Consumer<HttpServerExchange> tooLargeOrBroken) {
        long maxBodyBytes = exchange.getMaxEntitySize() - DRAIN_ALLOWANCE_BYTES;
        if (maxBodyBytes > 0 && exchange.getRequestContentLength() > maxBodyBytes) {
            exchange.setPersistent(false);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> tooLargeOrBroken.accept(exchange));
            return;
        }
        Receiver reader = exchange.getRequestReceiver();
        if (maxBodyBytes > 0) {
            reader.setMaxBufferSize((int) Math.min(maxBodyBytes, Integer.MAX_VALUE));
        }
        reader.receiveFullBytes(
                (sender, body) -> sender.dispatch(SameThreadExecutor.INSTANCE, () -> receiver.accept(sender, body)),
                (sender, failure) ->
                        sender.dispatch(SameThreadExecutor.INSTANCE, () -> tooLargeOrBroken.accept(sender)));
    }
}
