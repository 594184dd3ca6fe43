package org.verbenatray.servers;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP response.
 *
 * @param status the status
 * @param headers the first value of each header by lower-case name
 * @param body the body
 */
public record BufferedResponse(int status, Map<String, String> headers, byte[] body) {
    /** Returns the first value of a header by its lower-case name. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
