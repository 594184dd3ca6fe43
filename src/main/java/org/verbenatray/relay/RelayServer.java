package org.verbenatray.relay;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.verbenatray.web.Replies;
import org.xnio.XnioWorker;

/** The HTTP servers of a relaying instance: for callers, for the question whether it is ready, and for metrics. */
public final class RelayServer implements AutoCloseable {
    /** The largest size of all headers that is read, in bytes; routes may allow less. */
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** The time that a caller may take for the head of a request in milliseconds. */
    private static final int HEAD_MILLIS = 10_000;

    /** The time that an idle connection of a caller is kept in milliseconds. */
    private static final int IDLE_MILLIS = 60_000;

    /** The time that open exchanges may take once the servers are closed, in milliseconds. */
    private static final int SHUTDOWN_MILLIS = 100;

    /** The server. */
    private final Undertow server;

    /** Creates a server. */
    private RelayServer(Undertow server) {
        this.server = server;
    }

    /** Starts the servers. */
    public static RelayServer start(
            XnioWorker worker, RelayAddresses addresses, HttpHandler callers, BooleanSupplier ready, Reports reports) {
        HttpHandler readiness = exchange -> {
            boolean now = ready.getAsBoolean();
            Replies.text(exchange, now ? 200 : 503, "text/plain", now ? "ready\n" : "not ready\n");
        };
        HttpHandler operators = exchange -> {
            if (exchange.getRequestPath().equals("/state")) {
                Replies.json(exchange, 200, reports.state().get());
            } else {
                Replies.text(
                        exchange,
                        200,
                        "text/plain; version=0.0.4",
                        reports.metrics().get());
            }
        };
        Undertow server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(
                        addresses.callers().getPort(),
                        addresses.callers().getHostString(),
                        new HttpContinueReadHandler(callers))
                .addHttpListener(addresses.ready().getPort(), addresses.ready().getHostString(), readiness)
                .addHttpListener(
                        addresses.metrics().getPort(), addresses.metrics().getHostString(), operators)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_MILLIS)
                .setWorkerOption(UndertowOptions.SHUTDOWN_TIMEOUT, SHUTDOWN_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .build();
        server.start();
        return new RelayServer(server);
    }

    /** Returns the address for callers. */
    public InetSocketAddress callersAddress() {
        return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    }

    @Override
    public void close() {
        server.stop();
    }

    /**
     * Where the servers listen.
     *
     * @param callers the address for callers
     * @param ready the address for the question whether the instance is ready
     * @param metrics the address for metrics and the state
     */
    public record RelayAddresses(InetSocketAddress callers, InetSocketAddress ready, InetSocketAddress metrics) {}

    /**
     * What the metrics address shows.
     *
     * @param metrics the metrics as text
     * @param state the state of the process
     */
    public record Reports(Supplier<String> metrics, Supplier<Object> state) {}
}
