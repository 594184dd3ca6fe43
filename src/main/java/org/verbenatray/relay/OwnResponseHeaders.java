package org.verbenatray.relay;

import io.undertow.util.HeaderMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The headers that this instance itself adds to responses to callers. Used on one thread. */
final class OwnResponseHeaders {
    private final RelayContext context;

    private OwnResponseHeaders(RelayContext context) {
        this.context = context;
    }

    /** Returns the headers of an instance. */
    static OwnResponseHeaders of(RelayContext context) {
        return new OwnResponseHeaders(context);
    }

    /** Returns the headers of a response produced by this instance. */
    Map<String, String> ownResponse(String requestId, Optional<Long> retryAfterMillis) {
        HeaderMap headers = new HeaderMap();
        context.dialect().addRequestId(headers, requestId);
        retryAfterMillis.ifPresent(millis -> context.dialect().addRetryAfter(headers, millis));
        Map<String, String> result = new HashMap<>();
        headers.forEach(values -> result.put(values.getHeaderName().toString(), values.getFirst()));
        return withConnection(result);
    }

    /** Adds {@code Connection: close} if the caller is better served by another instance. */
    Map<String, String> withConnection(Map<String, String> headers) {
        if (!context.closingConnections().getAsBoolean()) {
            return headers;
        }
        Map<String, String> result = new HashMap<>(headers);
        result.put("Connection", "close");
        return result;
    }
}
