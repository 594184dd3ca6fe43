package org.verbenatray.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the headers to forward: all but the hop-by-hop ones. */
public final class EndToEndHeaders {
    /** Hop-by-hop headers, and those that the HTTP client or server sets itself, in lower case. */
    private static final Set<String> HOP_BY_HOP = Set.of(
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

    private EndToEndHeaders() {}

    /**
     * Returns the headers to forward by name; repeated values are joined with commas. Headers named in {@code
     * Connection} are left out too; it may name a header more than once.
     */
    public static Map<String, String> from(HeaderMap headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        HeaderValues named = headers.get(Headers.CONNECTION);
        if (named != null) {
            for (String value : named) {
                for (String name : value.split("[\\s,]+")) {
                    dropped.add(name.toLowerCase(Locale.ROOT));
                }
            }
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
