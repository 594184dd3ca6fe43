package org.verbenatray.web;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads whole request bodies. */
public final class Bodies {
    /** The bytes over the bound that are still read, so that the refusal is sent before the connection closes. */
    private static final long DRAINED_BYTES = 1024 * 1024;

    /** Prevents instances. */
    private Bodies() {}

    /** Returns the limit to give a server so that bodies over the bound in bytes are refused with an answer. */
    public static long serverLimit(long bound) {
        return bound + DRAINED_BYTES;
    }

    /**
     * Reads the body and passes it on, on the exchange's own thread and outside of the handler's call. A body over the
     * bound of the exchange is refused while the connection can still carry the answer.
     */
    public static void read(
            HttpServerExchange exchange,
            BiConsumer<HttpServerExchange, byte[]> receiver,
            Consumer<HttpServerExchange> tooLargeOrBroken) {
        long bound = exchange.getMaxEntitySize() - DRAINED_BYTES;
        if (bound > 0 && exchange.getRequestContentLength() > bound) {
            exchange.setPersistent(false);
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> tooLargeOrBroken.accept(exchange));
            return;
        }
        Receiver reader = exchange.getRequestReceiver();
        if (bound > 0) {
            reader.setMaxBufferSize((int) Math.min(bound, Integer.MAX_VALUE));
        }
        reader.receiveFullBytes(
                (same, body) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> receiver.accept(same, body)),
                (same, failure) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> tooLargeOrBroken.accept(same)));
    }
}
