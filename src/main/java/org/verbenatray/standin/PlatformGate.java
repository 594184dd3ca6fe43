package org.verbenatray.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import org.xnio.IoUtils;

/** One instance's way to a stand-in platform, which can be cut without touching the others. */
public final class PlatformGate implements AutoCloseable {
    /** The platform behind it. */
    private final PlatformServer platform;

    /** The HTTP server. */
    private final Undertow server;

    /** Whether every connection is closed. */
    private volatile boolean cut;

    /** Creates and starts a gate. */
    private PlatformGate(InetSocketAddress address, PlatformServer platform) {
        this.platform = platform;
        this.server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getHostString())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(this::pass)
                .build();
        server.start();
    }

    /** Returns a started, open gate; port zero takes one from the system. */
    public static PlatformGate start(InetSocketAddress address, PlatformServer platform) {
        return new PlatformGate(address, platform);
    }

    /** Returns the base URI. */
    public String address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }

    /** Sets whether every connection is closed without an answer. */
    public void cut(boolean newCut) {
        cut = newCut;
    }

    @Override
    public void close() {
        server.stop();
    }

    /** Passes an exchange on unless the gate is cut. */
    private void pass(HttpServerExchange exchange) throws Exception {
        if (cut) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        platform.handle(exchange);
    }
}
