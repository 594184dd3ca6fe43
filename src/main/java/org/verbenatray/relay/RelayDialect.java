package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.net.URI;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.CacheChanges;
import org.verbenatray.backends.ServerStatement;
import org.verbenatray.catalog.Customer;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ResponseHead;

/** Translates between the relay's types and the HTTP headers and bodies used by callers and backend servers. */
public interface RelayDialect {
    /** Returns the request of a caller; empty if it carries no request id. */
    Optional<RelayRequest> readRequest(HttpServerExchange exchange, byte[] body, long receivedNanos);

    /**
     * Returns a request of a deployment with customers as it is forwarded to backend servers: without the key, and with
     * the customer's name where there is a customer.
     */
    RelayRequest identified(RelayRequest request, Optional<Customer> customer);

    /** Returns the call that forwards a request to a backend server. */
    HttpCall forward(RelayRequest request, ForwardOptions options);

    /**
     * Returns the call that sends a request, with its key, to another instance, whose caller waits for the given time.
     */
    HttpCall forwardToInstance(RelayRequest request, URI instance, long timeoutMillis);

    /** Returns the parsed head of a server's response to the given request. */
    ServerResponseHead parseHead(RelayRequest request, ResponseHead head);

    /**
     * Returns what a server states of itself in the response to a status call; empty if it cannot be read or the
     * response is of another server.
     */
    Optional<ServerStatement> statement(BufferedResponse response);

    /**
     * Returns the handle of the prefilled prompt from the response body of a prefill engine; empty if it is malformed.
     */
    Optional<String> parsePrefillHandle(byte[] body);

    /** Returns the call that makes an engine release a prefilled prompt. */
    HttpCall release(PrefilledPrompt prompt);

    /** Returns the call that requests the load of an engine. */
    HttpCall load(Backend backend);

    /** Returns the load from the response body of an engine; empty if it is malformed. */
    Optional<BackendLoad> load(byte[] body);

    /** Returns the call that requests the changes of the prefix cache of an engine since the given position. */
    HttpCall cacheChanges(Backend backend, long since);

    /** Returns the cache changes from the response body of an engine; empty if it is malformed. */
    Optional<CacheChanges> cacheChanges(byte[] body);

    /** Returns the call that orders an engine to change its serving stage. */
    HttpCall changeStage(StageController.StageOrder order);

    /** Adds the retry-after time, given in milliseconds, to the headers of a response. */
    void addRetryAfter(HeaderMap headers, long millis);

    /** Adds the id of the request to the headers of a response. */
    void addRequestId(HeaderMap headers, String requestId);
}
