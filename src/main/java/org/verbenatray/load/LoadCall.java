package org.verbenatray.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A call to send to an entry instance.
 *
 * @param kind the kind of the call
 * @param path the request path
 * @param headers the headers besides the API key and the content type
 * @param body the JSON request body
 * @param expectedText the expected text of a complete response, empty where it is not verified
 */
public record LoadCall(
        LoadCallKind kind, String path, Map<String, String> headers, String body, Optional<String> expectedText) {
    /** Returns a copy of this call with an additional header. */
    public LoadCall withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new LoadCall(kind, path, Map.copyOf(more), body, expectedText);
    }
}
