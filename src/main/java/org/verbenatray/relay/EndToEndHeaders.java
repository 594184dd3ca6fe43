package org.verbenatray.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers that are passed on: all but those that concern one connection. */
public final class EndToEndHeaders {
    /** The headers that concern one connection, and those that the sender writes anew. */
    private static final Set<String> ONE_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    /** Prevents instances. */
    private EndToEndHeaders() {}

    /** Returns the headers that are passed on, by name; the values of a repeated one are joined. */
    public static Map<String, String> of(HeaderMap headers) {
        Set<String> dropped = new HashSet<>(ONE_CONNECTION);
        HeaderValues named = headers.get(Headers.CONNECTION);
        if (named != null) {
            named.forEach(value ->
                    Set.of(value.split("[\\s,]+")).forEach(name -> dropped.add(name.toLowerCase(Locale.ROOT))));
        }
        Map<String, String> result = new LinkedHashMap<>();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString();
            if (!dropped.contains(name.toLowerCase(Locale.ROOT))) {
                result.put(name, String.join(", ", values));
            }
        }
        return result;
    }
}
