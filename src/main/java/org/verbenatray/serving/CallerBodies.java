package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import java.util.function.BiConsumer;
import org.verbenatray.web.RequestBodies;

/** Reads the bodies of callers' requests. */
final class CallerBodies {
    private CallerBodies() {}

    /** Reads the body and passes it to the receiver; sends a refusal if the body is too large or incomplete. */
    static void read(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> receiver) {
        RequestBodies.read(
                exchange,
                receiver,
                failedExchange -> RefusalResponses.send(
                        failedExchange,
                        Refusal.notRun(
                                RefusalKind.TOO_LARGE, "the body is larger than the limit or incomplete; shorten it")));
    }
}
