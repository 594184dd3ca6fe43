package org.verbenatray.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.servers.HttpTransport;
import org.xnio.XnioIoThread;

/**
 * Finds out when servers without polls can be connected to again, so that requests need not try. Each of them is tried
 * at a regular interval from the first failure on until it is connected to, or has left. Used on one thread.
 */
public final class ConnectProbe {
    /** The time from the end of one attempt to the start of the next, in milliseconds. */
    private static final long INTERVAL_MILLIS = 250;

    private final HttpTransport transport;
    private final XnioIoThread thread;

    /** The boot ids of the servers that are tried. */
    private final Set<String> watched = new HashSet<>();

    private ConnectProbe(HttpTransport transport, XnioIoThread thread) {
        this.transport = transport;
        this.thread = thread;
    }

    /** Creates a probe that runs on the given thread. */
    public static ConnectProbe create(HttpTransport transport, XnioIoThread thread) {
        return new ConnectProbe(transport, thread);
    }

    /** Starts to try an unreachable server, unless it is tried already. */
    void watch(Backend server) {
        if (watched.add(server.entry().bootId())) {
            tryLater(server);
        }
    }

    private void tryLater(Backend server) {
        thread.executeAfter(() -> tryNow(server), INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tryNow(Backend server) {
        if (server.leaving()) {
            watched.remove(server.entry().bootId());
            return;
        }
        transport
                .connect(server.entry().address(), thread, server.entry().bootId())
                .whenComplete((connected, failure) -> {
                    if (failure == null) {
                        watched.remove(server.entry().bootId());
                        server.markReachable();
                    } else {
                        tryLater(server);
                    }
                });
    }
}
