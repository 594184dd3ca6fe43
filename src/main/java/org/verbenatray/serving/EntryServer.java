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
import org.verbenatray.explain.Explanations;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.telemetry.StateDump;
import org.verbenatray.web.Bodies;
import org.verbenatray.web.Replies;
import org.xnio.XnioWorker;

/** The HTTP servers of an entry instance: one for callers, one for operators. */
public final class EntryServer implements AutoCloseable {
    /** The largest size of all headers of a request in bytes. */
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** The largest number of headers of a request. */
    private static final int MAX_HEADERS = 100;

    /** The time that a caller may take for the head of a request in milliseconds. */
    private static final int HEAD_TIMEOUT_MILLIS = 10_000;

    /** The time that an idle connection of a caller is kept in milliseconds. */
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;

    /** The server for callers. */
    private final Undertow callers;

    /** The server for operators. */
    private final Undertow operators;

    /** Creates and starts the servers. */
    private EntryServer(EntrySettings settings, XnioWorker worker, HttpHandler serving, HttpHandler operating) {
        callers = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(settings.listen().getPort(), settings.listen().getHostString())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, Bodies.serverLimit(settings.maxBodyBytes()))
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEAD_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setHandler(serving)
                .build();
        operators = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(
                        settings.operators().getPort(), settings.operators().getHostString())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.maxBodyBytes())
                .setHandler(operating)
                .build();
    }

    /** Returns started servers. */
    public static EntryServer start(
            EntrySettings settings,
            XnioWorker worker,
            ServingParts parts,
            Metrics metrics,
            StateDump dump,
            BooleanSupplier ready) {
        HttpHandler serving = serving(parts);
        HttpHandler operating = Handlers.routing()
                .get("/healthz", exchange -> Replies.text(exchange, 200, "text/plain", "ok\n"))
                .get("/readyz", exchange -> readiness(exchange, ready.getAsBoolean()))
                .get("/metrics", exchange -> Replies.text(exchange, 200, "text/plain; version=0.0.4", metrics.text()))
                .get("/state", exchange -> Replies.json(exchange, 200, dump.read()))
                .get("/explain/{id}", exchange -> explain(exchange, parts.explanations()))
                .setFallbackHandler(exchange -> RefusalReply.send(exchange, unknownOperation()))
                .setInvalidMethodHandler(exchange -> RefusalReply.send(exchange, unknownOperation()));
        EntryServer server = new EntryServer(settings, worker, serving, operating);
        server.callers.start();
        server.operators.start();
        return server;
    }

    /** Returns the base URI for callers. */
    public String callersAddress() {
        return addressOf(callers);
    }

    /** Returns the base URI for operators. */
    public String operatorsAddress() {
        return addressOf(operators);
    }

    @Override
    public void close() {
        callers.stop();
        operators.stop();
    }

    /** Returns the handler of callers' requests. */
    private static HttpHandler serving(ServingParts parts) {
        HttpHandler routes = Handlers.routing()
                .post("/v1/completions", new CompletionHandler(parts, false))
                .post("/v1/chat/completions", new CompletionHandler(parts, true))
                .get("/v1/models", new ModelsHandler(parts))
                .setFallbackHandler(EntryServer::notFound)
                .setInvalidMethodHandler(EntryServer::notFound);
        HttpHandler services = new ServiceHandler(parts);
        return exchange -> {
            if (exchange.getRequestPath().startsWith(ServiceFilter.PREFIX)) {
                services.handleRequest(exchange);
            } else {
                routes.handleRequest(exchange);
            }
        };
    }

    /** Refuses an unknown path. */
    private static void notFound(HttpServerExchange exchange) {
        RefusalReply.send(
                exchange,
                Refusal.notRun(
                        RefusalKind.NOT_FOUND,
                        "nothing is served here; use POST /v1/completions, /v1/chat/completions, /v1/models"
                                + " or /services/NAME/..."));
    }

    /** Tells what became of a request. */
    private static void explain(HttpServerExchange exchange, Explanations explanations) {
        String id = exchange.getQueryParameters().get("id").getFirst();
        Optional<Explanation> found = explanations.find(id);
        if (found.isPresent()) {
            Replies.json(exchange, 200, found.get());
            return;
        }
        RefusalReply.send(
                exchange,
                Refusal.notRun(
                        RefusalKind.NOT_FOUND,
                        "this instance keeps no request of that id; ask the others with explain --operators"));
    }

    /** Returns the refusal of an unknown path of the operators' port. */
    private static Refusal unknownOperation() {
        return Refusal.notRun(
                RefusalKind.NOT_FOUND,
                "nothing is served here; use GET /healthz, /readyz, /metrics, /state or /explain/ID");
    }

    /** Tells whether this instance takes requests. */
    private static void readiness(HttpServerExchange exchange, boolean ready) {
        Replies.text(exchange, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    }

    /** Returns the base URI of a server. */
    private static String addressOf(Undertow server) {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }
}
