package org.verbenatray.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import org.xnio.IoUtils;

/**
 * A separate address of a stand-in platform for one instance. It can be made unreachable without affecting other
 * instances.
 */
public final class PlatformEndpoint implements AutoCloseable {
    private final PlatformServer platform;

    private final Undertow server;

    /** Whether every connection is closed without a response. */
    private volatile boolean unreachable;

    private PlatformEndpoint(InetSocketAddress address, PlatformServer platform) {
        this.platform = platform;
        this.server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getHostString())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(this::handle)
                .build();
        server.start();
    }

    /** Starts and returns a reachable endpoint. Port zero selects a free port. */
    public static PlatformEndpoint start(InetSocketAddress address, PlatformServer platform) {
        return new PlatformEndpoint(address, platform);
    }

    /** Returns the base URI of this endpoint. */
    public String address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }

    /** Sets whether every connection is closed without a response. */
    public void setUnreachable(boolean newUnreachable) {
        unreachable = newUnreachable;
    }

    @Override
    public void close() {
        server.stop();
    }

    private void handle(HttpServerExchange exchange) throws Exception {
        if (unreachable) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        platform.handle(exchange);
    }
}
