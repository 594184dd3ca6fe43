package org.verbenatray.servers;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * An HTTP request to send.
 *
 * @param method the method
 * @param address the base URI of the server; its authority is the default Host header
 * @param path the path with its query
 * @param headers the headers without Connection and Content-Length
 * @param body the body, empty for none
 * @param connectionUse the kind of connection to use
 * @param pool the name of the connection pool; a new server at the same address gets a new pool
 * @param requestId the id that the response must bear; a call does not use a connection that has carried one with the
 *     same id, where an earlier response may arrive once more
 * @param purpose what the call is for
 */
public record HttpCall(
        String method,
        URI address,
        String path,
        Map<String, String> headers,
        byte[] body,
        ConnectionUse connectionUse,
        String pool,
        Optional<String> requestId,
        CallPurpose purpose) {
    /** Returns a call with a JSON body, on a pooled connection with retry. */
    public static HttpCall json(String method, String address, String path, String body) {
        return create(
                method,
                URI.create(address),
                path,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a call without a body, on a pooled connection with retry. */
    public static HttpCall withoutBody(String method, String address, String path) {
        return create(method, URI.create(address), path, Map.of(), new byte[0]);
    }

    /** Returns a call on a pooled connection with retry; the pool is named after the authority of the address. */
    public static HttpCall create(String method, URI address, String path, Map<String, String> headers, byte[] body) {
        return new HttpCall(
                method,
                address,
                path,
                headers,
                body,
                ConnectionUse.POOLED_WITH_RETRY,
                address.getAuthority(),
                Optional.empty(),
                CallPurpose.OTHER);
    }

    /** Returns a copy of this call that uses a new connection. */
    public HttpCall onNewConnection() {
        return withConnection(ConnectionUse.NEW, pool);
    }

    /** Returns a copy of this call with the given kind of connection and pool. */
    public HttpCall withConnection(ConnectionUse newUse, String newPool) {
        return new HttpCall(method, address, path, headers, body, newUse, newPool, requestId, purpose);
    }

    /** Returns a copy of this call for the given purpose. */
    public HttpCall withPurpose(CallPurpose newPurpose) {
        return new HttpCall(method, address, path, headers, body, connectionUse, pool, requestId, newPurpose);
    }
}
