package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.verbenatray.web.Responses;

/** Sends refusals to callers. */
final class RefusalResponses {
    private RefusalResponses() {}

    /**
     * Sends a refusal as JSON with its HTTP status and its Retry-After header; does nothing if the response has
     * started.
     */
    static void send(HttpServerExchange exchange, Refusal refusal) {
        if (exchange.isResponseStarted()) {
            return;
        }
        RequestReader.ensureRequestId(exchange);
        refusal.retryAfterSeconds()
                .ifPresent(seconds -> exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds));
        Responses.sendJson(exchange, refusal.kind().status(), refusal.document());
    }
}
