package org.verbenatray.web;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.verbenatray.log.RecordCodec;

/** Sends whole replies. */
public final class Replies {
    /** Prevents instances. */
    private Replies() {}

    /** Sends a value as JSON. */
    public static void json(HttpServerExchange exchange, int status, Object value) {
        text(exchange, status, "application/json", RecordCodec.encode(value));
    }

    /** Sends a text. */
    public static void text(HttpServerExchange exchange, int status, String contentType, String body) {
        bytes(exchange, status, contentType, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends bytes. */
    public static void bytes(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
