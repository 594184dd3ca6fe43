package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.UUID;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Makes a {@link CallerRequest} of an exchange and its body. */
final class RequestReader {
    /** The header in which a caller states the milliseconds that its request may take. */
    static final HttpString TIMEOUT_HEADER = new HttpString("X-Timeout-Millis");

    /** The header that carries the id of a request. */
    static final HttpString REQUEST_ID_HEADER = new HttpString("X-Request-Id");

    /** The longest time that a request may take in milliseconds. */
    private static final long LONGEST_TIMEOUT_MILLIS = 24 * 60 * 60 * 1000L;

    /** The time a request may take where the caller states none, in milliseconds. */
    private final long defaultTimeoutMillis;

    /** The clock. */
    private final Ticker ticker;

    /** Creates a reader. */
    RequestReader(long defaultTimeoutMillis, Ticker ticker) {
        this.defaultTimeoutMillis = defaultTimeoutMillis;
        this.ticker = ticker;
    }

    /** Reads a request; fails with a {@link RefusalException} when its timeout is malformed. */
    CallerRequest read(HttpServerExchange exchange, byte[] body) {
        long now = ticker.nanos();
        Deadline deadline = Deadline.afterMillis(now, timeoutMillis(exchange));
        return new CallerRequest(requestId(exchange), exchange.getRequestHeaders(), body, "", null, now, deadline);
    }

    /** Returns the id of an exchange, made anew where it has none yet, and sends it to the caller. */
    static String requestId(HttpServerExchange exchange) {
        String present = exchange.getResponseHeaders().getFirst(REQUEST_ID_HEADER);
        if (present != null) {
            return present;
        }
        String fresh = UUID.randomUUID().toString();
        exchange.getResponseHeaders().put(REQUEST_ID_HEADER, fresh);
        return fresh;
    }

    /** Returns the time that the request may take. */
    private long timeoutMillis(HttpServerExchange exchange) {
        String text = exchange.getRequestHeaders().getFirst(TIMEOUT_HEADER);
        if (text == null) {
            return defaultTimeoutMillis;
        }
        try {
            long millis = Long.parseLong(text.strip());
            if (millis >= 1 && millis <= LONGEST_TIMEOUT_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // Refused below like a number out of range.
        }
        throw new RefusalException(Refusal.notRun(
                RefusalKind.BAD_REQUEST,
                "the header " + TIMEOUT_HEADER + " is not a number of milliseconds from 1 to "
                        + LONGEST_TIMEOUT_MILLIS));
    }
}
