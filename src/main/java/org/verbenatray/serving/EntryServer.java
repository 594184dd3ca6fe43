package org.verbenatray.serving;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.verbenatray.explain.Explanation;
import org.verbenatray.explain.ExplanationStore;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.telemetry.StateDump;
import org.verbenatray.web.RequestBodies;
import org.verbenatray.web.Responses;
import org.xnio.XnioWorker;

/** The HTTP servers of an entry instance: one for callers and one, on a port of its own, for operators. */
public final class EntryServer implements AutoCloseable {
    /** The maximum size of all headers of a request, in bytes. */
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** The maximum number of headers of a request. */
    private static final int MAX_HEADERS = 100;

    /** The timeout for receiving the request line and the headers, in milliseconds. */
    private static final int HEADERS_TIMEOUT_MILLIS = 10_000;

    /** The timeout after which an idle connection of a caller is closed, in milliseconds. */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    private final Undertow callers;
    private final Undertow operators;

    private EntryServer(
            EntrySettings settings, XnioWorker worker, HttpHandler callersHandler, HttpHandler operatorsHandler) {
        callers = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(settings.listen().getPort(), settings.listen().getHostString())
                .setServerOption(
                        UndertowOptions.MAX_ENTITY_SIZE, RequestBodies.serverLimitBytes(settings.maxBodyBytes()))
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADERS_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setHandler(callersHandler)
                .build();
        operators = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(
                        settings.operators().getPort(), settings.operators().getHostString())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.maxBodyBytes())
                .setHandler(operatorsHandler)
                .build();
    }

    /** Starts both servers; {@code ready} returns whether this instance accepts requests. */
    public static EntryServer start(
            EntrySettings settings,
            XnioWorker worker,
            ServingContext context,
            Metrics metrics,
            StateDump dump,
            BooleanSupplier ready) {
        HttpHandler callersHandler = callersHandler(context);
        HttpHandler operatorsHandler = Handlers.routing()
                .get("/healthz", exchange -> Responses.sendText(exchange, 200, "text/plain", "ok\n"))
                .get("/readyz", exchange -> sendReadiness(exchange, ready.getAsBoolean()))
                .get(
                        "/metrics",
                        exchange -> Responses.sendText(
                                exchange, 200, "text/plain; version=0.0.4", metrics.prometheusText()))
                .get("/state", exchange -> Responses.sendJson(exchange, 200, dump.collect()))
                .get("/explain/{id}", exchange -> sendExplanation(exchange, context.explanations()))
                .setFallbackHandler(exchange -> RefusalResponses.send(exchange, unknownOperation()))
                .setInvalidMethodHandler(exchange -> RefusalResponses.send(exchange, unknownOperation()));
        EntryServer server = new EntryServer(settings, worker, callersHandler, operatorsHandler);
        server.callers.start();
        server.operators.start();
        return server;
    }

    /** Returns the base URI of the server for callers. */
    public String callersAddress() {
        return addressOf(callers);
    }

    /** Returns the base URI of the server for operators. */
    public String operatorsAddress() {
        return addressOf(operators);
    }

    @Override
    public void close() {
        callers.stop();
        operators.stop();
    }

    /**
     * Returns the handler of callers' requests. Calls of plain services are matched by prefix, as their paths are
     * arbitrary.
     */
    private static HttpHandler callersHandler(ServingContext context) {
        HttpHandler routes = Handlers.routing()
                .post("/v1/completions", new CompletionHandler(context, false))
                .post("/v1/chat/completions", new CompletionHandler(context, true))
                .get("/v1/models", new ModelsHandler(context))
                .setFallbackHandler(EntryServer::rejectUnknownPath)
                .setInvalidMethodHandler(EntryServer::rejectUnknownPath);
        HttpHandler services = new ServiceHandler(context);
        return exchange -> {
            if (exchange.getRequestPath().startsWith(ServiceCallParser.PATH_PREFIX)) {
                services.handleRequest(exchange);
            } else {
                routes.handleRequest(exchange);
            }
        };
    }

    private static void rejectUnknownPath(HttpServerExchange exchange) {
        RefusalResponses.send(
                exchange,
                Refusal.notRun(
                        RefusalKind.NOT_FOUND,
                        "nothing is served here; use POST /v1/completions, /v1/chat/completions, /v1/models"
                                + " or /services/NAME/..."));
    }

    /** Sends the trace of a request. */
    private static void sendExplanation(HttpServerExchange exchange, ExplanationStore explanations) {
        String id = exchange.getQueryParameters().get("id").getFirst();
        Optional<Explanation> found = explanations.find(id);
        if (found.isPresent()) {
            Responses.sendJson(exchange, 200, found.get());
            return;
        }
        RefusalResponses.send(
                exchange,
                Refusal.notRun(
                        RefusalKind.NOT_FOUND,
                        "no trace of that id on this instance; ask the others with explain --operators"));
    }

    /** Returns the refusal of an unknown path on the operators' port. */
    private static Refusal unknownOperation() {
        return Refusal.notRun(
                RefusalKind.NOT_FOUND,
                "nothing is served here; use GET /healthz, /readyz, /metrics, /state or /explain/ID");
    }

    /** Sends whether this instance accepts requests. */
    private static void sendReadiness(HttpServerExchange exchange, boolean ready) {
        Responses.sendText(exchange, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    }

    private static String addressOf(Undertow server) {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }
}
