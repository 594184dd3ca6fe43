package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.verbenatray.web.Replies;

/** Sends refusals. */
final class RefusalReply {
    /** Prevents instances. */
    private RefusalReply() {}

    /** Sends a refusal as JSON with its Retry-After header. */
    static void send(HttpServerExchange exchange, Refusal refusal) {
        if (exchange.isResponseStarted()) {
            return;
        }
        RequestReader.requestId(exchange);
        refusal.retryAfterSeconds()
                .ifPresent(seconds -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds));
        Replies.json(exchange, refusal.kind().status(), refusal.document());
    }
}
