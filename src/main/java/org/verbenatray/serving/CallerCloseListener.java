package org.verbenatray.serving;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Runs the action of the open request when its caller's connection is closed. There is one listener per connection; its
 * action is replaced with each request. Thread-safe.
 */
final class CallerCloseListener {
    /** The key under which the listener is attached to its connection. */
    private static final AttachmentKey<CallerCloseListener> ATTACHMENT_KEY =
            AttachmentKey.create(CallerCloseListener.class);

    /** Runs when the connection is closed; does nothing while no request is open. */
    private final AtomicReference<Runnable> action = new AtomicReference<>(() -> {});

    private CallerCloseListener() {}

    /** Returns the listener of a connection; creates and registers it on the first call. */
    static CallerCloseListener of(ServerConnection connection) {
        CallerCloseListener existing = connection.getAttachment(ATTACHMENT_KEY);
        if (existing != null) {
            return existing;
        }
        CallerCloseListener created = new CallerCloseListener();
        connection.putAttachment(ATTACHMENT_KEY, created);
        connection.addCloseListener(closed -> created.action.get().run());
        return created;
    }

    /** Sets the action that runs when the connection is closed; replaces the previous one. */
    void setCloseAction(Runnable closeAction) {
        action.set(closeAction);
    }
}
