package org.verbenatray.relay;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.verbenatray.catalog.CallerLimits;
import org.verbenatray.time.Ticker;
import org.verbenatray.web.Responses;
import org.xnio.XnioWorker;

/**
 * The HTTP listeners of a relay instance: for callers, for requests that other instances forward, for readiness checks,
 * and for metrics and state.
 */
public final class RelayServer implements AutoCloseable {
    /** Largest total size of the headers that is read; the catalog may allow less. */
    static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Time within which the head of a request for readiness or metrics must arrive. */
    private static final int HEAD_TIMEOUT_MILLIS = 10_000;

    /** Time for which a connection for readiness or metrics may be idle. */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    /** Time that open exchanges get once the listeners are closed. */
    private static final int SHUTDOWN_TIMEOUT_MILLIS = 100;

    private final XnioWorker worker;

    private final Ticker ticker;

    private final CallerListener callers;

    /** Accepts requests that other instances forward; null before it is opened. */
    private CallerListener instances;

    /** The last limits of the configuration; null before the first. */
    private CallerLimits limits;

    /** Serves readiness, metrics and state. */
    private final Undertow server;

    private RelayServer(XnioWorker worker, Ticker ticker, CallerListener callers, Undertow server) {
        this.worker = worker;
        this.ticker = ticker;
        this.callers = callers;
        this.server = server;
    }

    /** Starts the listeners. */
    public static RelayServer start(
            XnioWorker worker,
            Ticker ticker,
            RelayAddresses addresses,
            HttpHandler callers,
            BooleanSupplier ready,
            Reports reports) {
        HttpHandler readiness = exchange -> {
            boolean isReady = ready.getAsBoolean();
            Responses.sendText(exchange, isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
        };
        HttpHandler operators = exchange -> {
            if (exchange.getRequestPath().equals("/state")) {
                Responses.sendJson(exchange, 200, reports.state().get());
            } else if (exchange.getRequestPath().equals("/destination")) {
                sendDestination(exchange, reports);
            } else {
                Responses.sendText(
                        exchange,
                        200,
                        "text/plain; version=0.0.4",
                        reports.metrics().get());
            }
        };
        Undertow server = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(addresses.ready().getPort(), addresses.ready().getHostString(), readiness)
                .addHttpListener(
                        addresses.metrics().getPort(), addresses.metrics().getHostString(), operators)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setWorkerOption(UndertowOptions.SHUTDOWN_TIMEOUT, SHUTDOWN_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .build();
        server.start();
        return new RelayServer(
                worker,
                ticker,
                CallerListener.start(
                        worker, ticker, addresses.callers(), MAX_HEADER_BYTES, new HttpContinueReadHandler(callers)),
                server);
    }

    private static void sendDestination(HttpServerExchange exchange, Reports reports) {
        try {
            DestinationQuestion question = DestinationQuestion.parse(exchange.getQueryParameters());
            String lines = String.join("\n", reports.destination().apply(question));
            Responses.sendText(exchange, 200, "text/plain", lines + "\n");
        } catch (IllegalArgumentException e) {
            Responses.sendText(exchange, 400, "text/plain", e.getMessage() + "\n");
        }
    }

    /** Returns the address on which the listener for callers is bound. */
    public InetSocketAddress callersAddress() {
        return callers.address();
    }

    /** Returns the address on which metrics and state are served. */
    public InetSocketAddress metricsAddress() {
        return (InetSocketAddress) server.getListenerInfo().get(1).getAddress();
    }

    /**
     * Starts to accept requests that other instances forward; fails with an {@link java.io.UncheckedIOException} if the
     * address cannot be bound. Called on the I/O thread.
     */
    public void listenForInstances(InetSocketAddress address, HttpHandler handler) {
        instances = CallerListener.start(worker, ticker, address, MAX_HEADER_BYTES, handler);
        if (limits != null) {
            instances.apply(limits);
        }
    }

    /** Applies the limits of a newer configuration to the connections. Called on the I/O thread. */
    public void applyLimits(CallerLimits newLimits) {
        limits = newLimits;
        callers.apply(newLimits);
        if (instances != null) {
            instances.apply(newLimits);
        }
    }

    @Override
    public void close() {
        callers.close();
        if (instances != null) {
            instances.close();
        }
        server.stop();
    }

    /**
     * Addresses of the listeners.
     *
     * @param callers the address for callers
     * @param ready the address for readiness checks
     * @param metrics the address for metrics and state
     */
    public record RelayAddresses(InetSocketAddress callers, InetSocketAddress ready, InetSocketAddress metrics) {}

    /**
     * Content served on the metrics address.
     *
     * @param metrics the metrics in the Prometheus text format
     * @param state the state of the process, served as JSON
     * @param destination explains where a request would be sent, in lines
     */
    public record Reports(
            Supplier<String> metrics,
            Supplier<Object> state,
            Function<DestinationQuestion, List<String>> destination) {}
}
