package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.CacheChanges;
import org.verbenatray.backends.LoadReading;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ReplyHead;

/** Translates between the relay's types and the headers that callers and backend servers speak. */
public interface RelayDialect {
    /** Returns the request of a caller, or empty where it bears no id. */
    Optional<RelayRequest> read(HttpServerExchange exchange, byte[] body, long receivedNanos);

    /** Returns the call that sends a request to a backend server. */
    HttpCall forward(RelayRequest request, Forwarding how);

    /** Returns what the head of a server's answer to a request says. */
    ServerHead head(RelayRequest request, ReplyHead head);

    /** Returns the handle in the answer of an engine that processed a prompt; empty where it is malformed. */
    Optional<String> handle(byte[] body);

    /** Returns the call that frees a processed prompt. */
    HttpCall free(PromptSource source);

    /** Returns the call that asks an engine for its load. */
    HttpCall load(Backend backend);

    /** Returns the load in the answer of an engine; empty where it is malformed. */
    Optional<LoadReading> load(byte[] body);

    /** Returns the call that asks an engine what changed in its memory since a number. */
    HttpCall cacheChanges(Backend backend, long since);

    /** Returns what changed in the answer of an engine; empty where it is malformed. */
    Optional<CacheChanges> cacheChanges(byte[] body);

    /** Returns the call that orders an engine to change its stage. */
    HttpCall order(StageKeeper.StageOrder order);

    /** Adds to an answer when a caller may come back, in milliseconds. */
    void comeBack(HeaderMap headers, long millis);

    /** Adds the id of the request to an answer. */
    void answerTo(HeaderMap headers, String requestId);
}
