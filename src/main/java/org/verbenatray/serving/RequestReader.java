package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.UUID;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Creates {@link CallerRequest}s from HTTP exchanges. */
final class RequestReader {
    /** The request header that sets the timeout of a request, in milliseconds. */
    static final HttpString TIMEOUT_HEADER = new HttpString("X-Timeout-Millis");

    /** The response header that carries the id of a request. */
    static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");

    /** The maximum timeout of a request, in milliseconds. */
    private static final long MAX_TIMEOUT_MILLIS = 24 * 60 * 60 * 1000L;

    /** The timeout of requests without a timeout header, in milliseconds. */
    private final long defaultTimeoutMillis;

    private final Ticker ticker;

    RequestReader(long defaultTimeoutMillis, Ticker ticker) {
        this.defaultTimeoutMillis = defaultTimeoutMillis;
        this.ticker = ticker;
    }

    /** Reads a request; throws a {@link RefusalException} if its timeout header is invalid. */
    CallerRequest read(HttpServerExchange exchange, byte[] body) {
        long now = ticker.nanos();
        Deadline deadline = Deadline.afterMillis(now, timeoutMillis(exchange));
        return new CallerRequest(
                ensureRequestId(exchange), exchange.getRequestHeaders(), body, "", null, now, deadline);
    }

    /** Returns the request id in the response headers of an exchange; adds a new one if there is none yet. */
    static String ensureRequestId(HttpServerExchange exchange) {
        String present = exchange.getResponseHeaders().getFirst(REQUEST_ID_HEADER);
        if (present != null) {
            return present;
        }
        String created = UUID.randomUUID().toString();
        exchange.getResponseHeaders().put(REQUEST_ID_HEADER, created);
        return created;
    }

    /** Returns the timeout of the request in milliseconds. */
    private long timeoutMillis(HttpServerExchange exchange) {
        String text = exchange.getRequestHeaders().getFirst(TIMEOUT_HEADER);
        if (text == null) {
            return defaultTimeoutMillis;
        }
        try {
            long millis = Long.parseLong(text.strip());
            if (millis >= 1 && millis <= MAX_TIMEOUT_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // Rejected below, like a number out of range.
        }
        throw new RefusalException(Refusal.notRun(
                RefusalKind.BAD_REQUEST,
                "the header " + TIMEOUT_HEADER + " is not a number of milliseconds from 1 to " + MAX_TIMEOUT_MILLIS));
    }
}
