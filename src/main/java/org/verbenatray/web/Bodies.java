package org.verbenatray.web;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads whole request bodies. */
public final class Bodies {
    /** Prevents instances. */
    private Bodies() {}

    /** Reads the body and passes it on, on the exchange's own thread and outside of the handler's call. */
    public static void read(
            HttpServerExchange exchange,
            BiConsumer<HttpServerExchange, byte[]> receiver,
            Consumer<HttpServerExchange> tooLargeOrBroken) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (same, body) -> same.dispatch(SameThreadExecutor.INSTANCE, () -> receiver.accept(same, body)),
                        (same, failure) ->
                                same.dispatch(SameThreadExecutor.INSTANCE, () -> tooLargeOrBroken.accept(same)));
    }
}
