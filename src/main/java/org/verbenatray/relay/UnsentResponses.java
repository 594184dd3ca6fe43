package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The connections of callers whose response is due or not yet written to the socket. A request has ended when its
 * response was handed to the connection, which may be long before a slow caller can receive it. Safe for use by several
 * threads.
 */
public final class UnsentResponses {
    /** Set on connections whose end is watched. */
    private static final AttachmentKey<Boolean> WATCHED = AttachmentKey.create(Boolean.class);

    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();

    private UnsentResponses() {}

    /** Returns an empty set. */
    static UnsentResponses create() {
        return new UnsentResponses();
    }

    /** Adds the connection of an exchange until the response is written or the connection is closed. */
    void add(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (connection.putAttachment(WATCHED, true) == null) {
            connection.addCloseListener(connections::remove);
        }
        if (connections.add(connection)) {
            exchange.addExchangeCompleteListener((completed, next) -> {
                connections.remove(connection);
                next.proceed();
            });
        }
    }

    /** Returns the number of responses that are due or not yet written. */
    public int count() {
        return connections.size();
    }
}
