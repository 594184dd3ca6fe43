package org.verbenatray.servers;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * An HTTP request to send.
 *
 * @param method the method
 * @param address the base URI of the server
 * @param path the path with its query
 * @param headers the headers besides Host, Connection and Content-Length
 * @param body the body, empty for none
 * @param fresh whether a new connection must be opened for it
 */
public record HttpCall(
        String method, URI address, String path, Map<String, String> headers, byte[] body, boolean fresh) {
    /** Returns a call with a JSON body on a connection that may have been used before. */
    public static HttpCall json(String method, String address, String path, String body) {
        return new HttpCall(
                method,
                URI.create(address),
                path,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                false);
    }

    /** Returns a call without a body on a connection that may have been used before. */
    public static HttpCall bare(String method, String address, String path) {
        return new HttpCall(method, URI.create(address), path, Map.of(), new byte[0], false);
    }

    /** Returns this call bound to a new connection. */
    public HttpCall onFreshConnection() {
        return new HttpCall(method, address, path, headers, body, true);
    }
}
