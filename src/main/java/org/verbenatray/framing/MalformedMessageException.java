package org.verbenatray.framing;

import java.io.IOException;

/**
 * Thrown for bytes that break the grammar of HTTP/1.1, so that neither the fields nor the end of their message can be
 * relied on. The connection cannot be used any further.
 */
public final class MalformedMessageException extends IOException {
    private MalformedMessageException(String message) {
        super(message);
    }

    /** Returns an exception that names what is malformed. */
    static MalformedMessageException of(String what) {
        return new MalformedMessageException(what);
    }
}
