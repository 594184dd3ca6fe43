package org.verbenatray.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One call to make.
 *
 * @param kind the kind
 * @param path the path
 * @param headers the headers besides the customer's key
 * @param body the body
 * @param expected the text that a whole answer must have, where it is known
 */
public record LoadCall(
        CallKind kind, String path, Map<String, String> headers, String body, Optional<String> expected) {
    /** Returns this call with a further header. */
    public LoadCall withHeader(String name, String value) {
        Map<String, String> more = new HashMap<>(headers);
        more.put(name, value);
        return new LoadCall(kind, path, Map.copyOf(more), body, expected);
    }
}
