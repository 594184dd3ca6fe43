package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import java.util.function.BiConsumer;
import org.verbenatray.web.Bodies;

/** Reads the bodies of callers' requests. */
final class CallerBodies {
    /** Prevents instances. */
    private CallerBodies() {}

    /** Reads the body and passes it on; one that is too large or broken gets its refusal. */
    static void read(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> receiver) {
        Bodies.read(
                exchange,
                receiver,
                broken -> RefusalReply.send(
                        broken,
                        Refusal.notRun(
                                RefusalKind.TOO_LARGE, "the body is larger than the bound or broken; shorten it")));
    }
}
