package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs tasks when the exchange of a connection has ended: its response is written to the socket, or the connection is
 * closed. Used on one thread.
 */
final class ExchangeEnd {
    private static final AttachmentKey<ExchangeEnd> KEY = AttachmentKey.create(ExchangeEnd.class);

    /** The tasks of the open exchange. */
    private List<Runnable> tasks = new ArrayList<>();

    private ExchangeEnd() {}

    /** Runs a task once, when the exchange has ended. */
    static void onEnd(HttpServerExchange exchange, Runnable task) {
        ExchangeEnd end = of(exchange.getConnection());
        end.tasks.add(task);
        if (end.tasks.size() == 1) {
            exchange.addExchangeCompleteListener((completed, next) -> {
                end.run();
                next.proceed();
            });
        }
    }

    private static ExchangeEnd of(ServerConnection connection) {
        ExchangeEnd known = connection.getAttachment(KEY);
        if (known != null) {
            return known;
        }
        ExchangeEnd created = new ExchangeEnd();
        connection.putAttachment(KEY, created);
        connection.addCloseListener(closed -> created.run());
        return created;
    }

    private void run() {
        List<Runnable> ended = tasks;
        tasks = new ArrayList<>();
        ended.forEach(Runnable::run);
    }
}
