package org.verbenatray.relay;

import java.util.Map;
import java.util.Optional;
import org.verbenatray.backends.ServerStatement;

/**
 * The parsed head of a server's response.
 *
 * @param status the HTTP status
 * @param headers the headers to forward, by name
 * @param matchesRequestId whether the request id in the response is that of the request
 * @param authentic whether the response carries the server's stamp and no content encoding, and so was not produced or
 *     altered on the way
 * @param notRun whether the server reports that it did not run the request
 * @param eventStream whether the body is a stream of server-sent events
 * @param statement what the server states of itself; empty if that cannot be read or the response is of another server
 */
public record ServerResponseHead(
        int status,
        Map<String, String> headers,
        boolean matchesRequestId,
        boolean authentic,
        boolean notRun,
        boolean eventStream,
        Optional<ServerStatement> statement) {}
