package org.verbenatray.servers;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/**
 * Status and headers of a response.
 *
 * @param status the status
 * @param headers all headers
 */
public record ResponseHead(int status, HeaderMap headers) {
    /** Returns whether the body has neither a length nor chunks, so that it ends with the connection. */
    public boolean endsWithConnection() {
        return !headers.contains(Headers.CONTENT_LENGTH) && !headers.contains(Headers.TRANSFER_ENCODING);
    }
}
