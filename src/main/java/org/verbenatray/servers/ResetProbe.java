package org.verbenatray.servers;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Method;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicBoolean;
import org.verbenatray.telemetry.Event;
import org.xnio.StreamConnection;

/**
 * Tells whether a connection was reset after its incoming bytes had ended. Reads go on to tell of the end then, so a
 * selector is asked: it reports an error of the socket as whatever the channel is registered for, and nothing else
 * makes a connected channel ready to connect. XNIO has no public access to its channel.
 */
final class ResetProbe {
    private static final Logger log = System.getLogger(ResetProbe.class.getName());

    /** Whether it was logged that resets cannot be seen. */
    private static final AtomicBoolean LOGGED = new AtomicBoolean();

    private ResetProbe() {}

    /** Returns whether the connection was reset; false if that cannot be seen, which is logged once. */
    static boolean isReset(StreamConnection connection) {
        try {
            return hasError(channelOf(connection));
        } catch (ReflectiveOperationException | IOException | RuntimeException e) {
            if (LOGGED.compareAndSet(false, true)) {
                Event.named("resets_not_seen").with("why", e).log(log, Level.WARNING);
            }
            return false;
        }
    }

    private static SocketChannel channelOf(StreamConnection connection) throws ReflectiveOperationException {
        Method accessor = connection.getClass().getDeclaredMethod("getChannel");
        accessor.setAccessible(true);
        return (SocketChannel) accessor.invoke(connection);
    }

    private static boolean hasError(SocketChannel channel) throws IOException {
        try (Selector selector = Selector.open()) {
            channel.register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        }
    }
}
