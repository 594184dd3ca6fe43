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
 * @param headers the headers besides Connection and Content-Length; Host is derived from the address where missing
 * @param body the body, empty for none
 * @param use which connection it may travel on
 * @param pool the name of the pool of connections, which changes when another server takes over the address
 */
public record HttpCall(
        String method,
        URI address,
        String path,
        Map<String, String> headers,
        byte[] body,
        ConnectionUse use,
        String pool) {
    /** Returns a call with a JSON body on a connection that may have been used before. */
    public static HttpCall json(String method, String address, String path, String body) {
        return create(
                method,
                URI.create(address),
                path,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a call without a body on a connection that may have been used before. */
    public static HttpCall bare(String method, String address, String path) {
        return create(method, URI.create(address), path, Map.of(), new byte[0]);
    }

    /** Returns a call on a connection of the pool that belongs to the address. */
    public static HttpCall create(String method, URI address, String path, Map<String, String> headers, byte[] body) {
        return new HttpCall(
                method, address, path, headers, body, ConnectionUse.POOLED_RESENDING, address.getAuthority());
    }

    /** Returns this call bound to a new connection. */
    public HttpCall onFreshConnection() {
        return on(ConnectionUse.FRESH, pool);
    }

    /** Returns this call on a connection of the given use and pool. */
    public HttpCall on(ConnectionUse newUse, String newPool) {
        return new HttpCall(method, address, path, headers, body, newUse, newPool);
    }
}
