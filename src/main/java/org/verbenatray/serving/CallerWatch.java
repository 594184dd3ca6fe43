package org.verbenatray.serving;

import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.concurrent.atomic.AtomicReference;

/** Tells the request that is open on a caller's connection when the connection is closed. */
final class CallerWatch {
    /** The key under which a connection holds its watch. */
    private static final AttachmentKey<CallerWatch> KEY = AttachmentKey.create(CallerWatch.class);

    /** What the open request does when the connection is closed. */
    private final AtomicReference<Runnable> action = new AtomicReference<>(() -> {});

    /** Creates a watch without a request. */
    private CallerWatch() {}

    /** Returns the watch of a connection, which is added once per connection. */
    static CallerWatch of(ServerConnection connection) {
        CallerWatch present = connection.getAttachment(KEY);
        if (present != null) {
            return present;
        }
        CallerWatch fresh = new CallerWatch();
        connection.putAttachment(KEY, fresh);
        connection.addCloseListener(closed -> fresh.action.get().run());
        return fresh;
    }

    /** Sets what is done when the connection is closed, in place of what was set before. */
    void whenClosed(Runnable newAction) {
        action.set(newAction);
    }
}
