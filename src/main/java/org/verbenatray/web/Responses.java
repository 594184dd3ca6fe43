package org.verbenatray.web;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.verbenatray.log.RecordCodec;

/** Sends complete responses; does nothing if the response has already started. */
public final class Responses {
    private Responses() {}

    /** Sends a value encoded as JSON. */
    public static void sendJson(HttpServerExchange exchange, int status, Object value) {
        sendText(exchange, status, "application/json", RecordCodec.encode(value));
    }

    /** Sends a text encoded as UTF-8. */
    public static void sendText(HttpServerExchange exchange, int status, String contentType, String body) {
        sendBytes(exchange, status, contentType, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends bytes with the given content type. */
    public static void sendBytes(HttpServerExchange exchange, int status, String contentType, byte[] body) {
        if (exchange.isResponseStarted()) {
            return;
        }
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }
}
