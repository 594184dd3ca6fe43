package org.verbenatray.standin;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.fleet.PromptBlocks;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.orders.ModelVersion;
import org.verbenatray.servers.EngineClient.StreamStatus;
import org.verbenatray.servers.GenerateRequest;
import org.verbenatray.servers.HttpEngineOrders;
import org.verbenatray.servers.HttpEngineOrders.SentOrder;
import org.verbenatray.standin.engine.EngineModel;
import org.verbenatray.standin.engine.EngineModelSpec;
import org.verbenatray.standin.engine.EngineRefusal;
import org.verbenatray.standin.engine.EngineRequest;
import org.verbenatray.standin.engine.KvExport;
import org.verbenatray.time.Ticker;
import org.verbenatray.web.RequestBodies;
import org.verbenatray.web.Responses;
import org.xnio.IoUtils;

/**
 * A stand-in language-model engine that implements the engine protocol over HTTP and injects faults on request. Safe
 * for concurrent use.
 */
public final class EngineServer implements AutoCloseable {
    /** The delay before the next attempt to bind the address of a restarting engine, in milliseconds. */
    private static final long REBIND_MILLIS = 20;

    /** The response header with the engine's incarnation. */
    private static final HttpString INCARNATION_HEADER = new HttpString("X-Incarnation");

    private final String name;

    private final EngineLoop loop;

    private final RoutingHandler routes;

    /** The HTTP server, which is replaced after a crash. */
    private volatile Undertow server;

    /** The faults to inject. */
    private volatile EngineFaults activeFaults = EngineFaults.none();

    /** The number of accepted dispatches. */
    private final AtomicLong acceptedDispatches = new AtomicLong();

    /** The number of generate and prefill requests received. */
    private final AtomicLong dispatchAttempts = new AtomicLong();

    private final AtomicInteger crashes = new AtomicInteger();

    /** Incremented to silence all responses that are open at that time. */
    private final AtomicLong silenceCount = new AtomicLong();

    /** The last load report, which is repeated while a lag is configured. */
    private volatile CachedLoadReport lastLoadReport = new CachedLoadReport(Optional.empty(), 0);

    /** Whether {@link #close} was called. */
    private volatile boolean closed;

    /** Whether the engine is down after a crash. */
    private volatile boolean down;

    private EngineServer(
            String name,
            InetSocketAddress address,
            EngineModelSpec spec,
            Map<String, String> models,
            boolean checksFencing,
            Ticker ticker) {
        this.name = name;
        this.loop = new EngineLoop(name, EngineModel.create(spec, models, ticker.nanos()), ticker, checksFencing);
        this.routes = Handlers.routing()
                .post("/generate", exchange -> readBody(exchange, (same, body) -> generate(same, body, false)))
                .post("/prefill", exchange -> readBody(exchange, (same, body) -> generate(same, body, true)))
                .post("/import", exchange -> readBody(exchange, this::importKv))
                .get("/streams/{id}", this::handleResume)
                .get("/streams/{id}/status", this::handleStatus)
                .delete("/streams/{id}", this::handleCancel)
                .get("/load", this::handleLoad)
                .post(HttpEngineOrders.ORDERS_PATH, exchange -> readBody(exchange, this::handleOrder))
                .get(
                        HttpEngineOrders.ORDERS_PATH,
                        exchange -> respondWithResult(
                                exchange, () -> loop.orderHandler().orderState()))
                .put("/faults", exchange -> readBody(exchange, this::handleFaults))
                .put("/leaving", this::handleLeaving);
        this.server = listen(address.getHostString(), address.getPort());
    }

    /** Starts and returns an engine that serves the given versions by model. Port zero selects a free port. */
    public static EngineServer start(
            String name,
            InetSocketAddress address,
            EngineModelSpec spec,
            Map<String, String> models,
            boolean checksFencing) {
        return start(name, address, spec, models, checksFencing, Ticker.system());
    }

    /** Starts and returns an engine whose thread reads the time from the given ticker. */
    static EngineServer start(
            String name,
            InetSocketAddress address,
            EngineModelSpec spec,
            Map<String, String> models,
            boolean checksFencing,
            Ticker ticker) {
        return new EngineServer(name, address, spec, models, checksFencing, ticker);
    }

    /** Returns the base URI of the engine. */
    public String address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }

    /** Returns the name of the engine. */
    public String name() {
        return name;
    }

    /** Returns the incarnation, which increases with every start and crash. */
    public long incarnation() {
        return loop.incarnation();
    }

    /** Returns whether the engine serves the given version of a model. Blocks for the engine's thread. */
    public boolean servesVersion(String model, String version) {
        return loop.callOnLoop(
                        () -> loop.orderHandler().orderState().loaded().contains(new ModelVersion(model, version)))
                .join();
    }

    /** Returns the number of role changes that took effect. Blocks for the engine's thread. */
    public int roleChanges() {
        return loop.callOnLoop(() -> loop.orderHandler().roleChanges()).join();
    }

    /** Returns the number of orders that arrived while another one was in progress. Blocks for the engine's thread. */
    public int conflictingOrders() {
        return loop.callOnLoop(() -> loop.orderHandler().conflictingOrders()).join();
    }

    /** Returns the number of dispatches accepted since this object was created, across crashes. */
    public long acceptedDispatches() {
        return acceptedDispatches.get();
    }

    /** Returns the number of tokens generated so far. */
    public long generatedTokens() {
        return loop.generatedTokens();
    }

    /** Returns the number of crashes so far. */
    public int crashes() {
        return crashes.get();
    }

    /** Returns the number of generate and prefill requests received, whether accepted or rejected. */
    public long dispatchAttempts() {
        return dispatchAttempts.get();
    }

    /** Sets the faults to inject from now on. */
    public void setFaults(EngineFaults newFaults) {
        activeFaults = newFaults;
    }

    /** Stops sending on all currently open responses without closing their connections. */
    public void silenceOpenResponses() {
        silenceCount.incrementAndGet();
    }

    /** Marks the engine as leaving: it rejects new generate and prefill requests from now on. */
    public void startLeaving() {
        loop.startLeaving();
    }

    /**
     * Crashes the engine and restarts it after the configured time. Does nothing if it is down already.
     *
     * <p>The HTTP server is stopped only after the engine's thread has crashed the model, because that thread closes
     * the open responses on the I/O threads of the server.
     */
    public synchronized void crash() {
        if (down) {
            return;
        }
        crashes.incrementAndGet();
        down = true;
        long restartMillis = activeFaults.restartMillis();
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        Thread restart = new Thread(() -> restart(bound, restartMillis), "crash-" + name);
        restart.setDaemon(true);
        loop.crash().thenRun(restart::start);
    }

    @Override
    public void close() {
        closed = true;
        loop.stop();
        server.stop();
    }

    /** Closes all connections, stays down for the given time and then listens on the same address again. */
    private void restart(InetSocketAddress address, long restartMillis) {
        server.stop();
        long restartNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(restartMillis);
        for (long remainingNanos = restartNanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = restartNanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
        while (down && !closed) {
            try {
                loop.restart();
                server = listen(address.getHostString(), address.getPort());
                down = false;
            } catch (RuntimeException e) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(REBIND_MILLIS));
            }
        }
    }

    /** Starts and returns an HTTP server on the given address. */
    private Undertow listen(String host, int port) {
        Undertow fresh = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(exchange -> handleUnlessDown(exchange, routes))
                .build();
        fresh.start();
        return fresh;
    }

    /** Handles a request, or closes its connection while the engine is down. */
    private void handleUnlessDown(HttpServerExchange exchange, RoutingHandler routes) throws Exception {
        if (down) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.getResponseHeaders().put(INCARNATION_HEADER, loop.incarnation());
        routes.handleRequest(exchange);
    }

    private static void readBody(HttpServerExchange exchange, BiConsumer<HttpServerExchange, byte[]> receiver) {
        RequestBodies.read(
                exchange, receiver, broken -> Responses.sendText(broken, 400, "text/plain", "the body is broken"));
    }

    private void generate(HttpServerExchange exchange, byte[] body, boolean prefillOnly) {
        dispatchAttempts.incrementAndGet();
        GenerateRequest request = RecordCodec.decode(new String(body, StandardCharsets.UTF_8), GenerateRequest.class);
        if (activeFaults.crashOn().filter(request.prompt()::contains).isPresent()) {
            crash();
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        if (loop.isLeaving()) {
            Responses.sendText(exchange, 410, "text/plain", "the engine is leaving; choose another one");
            return;
        }
        EngineRequest engineRequest = toEngineRequest(request, prefillOnly);
        acceptDispatch(exchange, engineRequest.id(), engineRequest.startOffset(), () -> loop.submit(engineRequest));
    }

    /** Accepts a dispatch whose prompt another engine has processed. */
    private void importKv(HttpServerExchange exchange, byte[] body) {
        KvExport export = RecordCodec.decode(new String(body, StandardCharsets.UTF_8), KvExport.class);
        acceptDispatch(exchange, export.request().id(), export.nextOffset(), () -> loop.importKv(export));
    }

    /**
     * Submits a dispatch on the engine's thread and streams its tokens, or responds with the reason for rejecting it.
     */
    private void acceptDispatch(
            HttpServerExchange exchange, String dispatch, int from, Supplier<Optional<EngineRefusal>> submission) {
        loop.callOnLoop(() -> {
                    Optional<EngineRefusal> refusal = submission.get();
                    if (refusal.isEmpty()) {
                        acceptedDispatches.incrementAndGet();
                        loop.streamRecord(dispatch)
                                .ifPresent(stream -> stream.addResponse(openResponse(exchange), from));
                    }
                    return refusal;
                })
                .thenAccept(refusal -> refusal.ifPresent(kind -> sendRefusal(exchange, kind)));
    }

    /** Converts a request of the HTTP protocol to one of the engine model. */
    private static EngineRequest toEngineRequest(GenerateRequest request, boolean prefillOnly) {
        int promptTokens = Math.max(1, PromptBlocks.tokens(request.prompt()));
        return new EngineRequest(
                request.dispatch(),
                request.model(),
                request.priority(),
                promptTokens,
                request.maxTokens(),
                request.fromOffset(),
                request.seed(),
                PromptBlocks.hashes(request.model(), request.prompt()),
                prefillOnly);
    }

    /** Returns a streamed response that {@link #silenceOpenResponses} silences if called later. */
    private EngineStreamResponse openResponse(HttpServerExchange exchange) {
        long opened = silenceCount.get();
        return new EngineStreamResponse(exchange, () -> activeFaults, () -> silenceCount.get() != opened);
    }

    private static void sendRefusal(HttpServerExchange exchange, EngineRefusal kind) {
        int status = kind == EngineRefusal.CHANGING || kind == EngineRefusal.WRONG_ROLE ? 410 : 409;
        Responses.sendText(exchange, status, "text/plain", kind.name());
    }

    /** Resumes a stream from a token offset on a new connection. */
    private void handleResume(HttpServerExchange exchange) {
        String dispatch = parameter(exchange, "id");
        int from = Integer.parseInt(parameter(exchange, "from"));
        dispatchOnSameThread(
                exchange,
                () -> loop.callOnLoop(() -> {
                            Optional<StreamRecord> stream = loop.streamRecord(dispatch);
                            stream.ifPresent(found -> found.addResponse(openResponse(exchange), from));
                            return stream.isPresent();
                        })
                        .thenAccept(found -> {
                            if (!found) {
                                Responses.sendText(exchange, 404, "text/plain", "the dispatch is unknown; run it anew");
                            }
                        }));
    }

    /** Responds with the status of a dispatch. */
    private void handleStatus(HttpServerExchange exchange) {
        String dispatch = parameter(exchange, "id");
        respondWithResult(exchange, () -> {
            Optional<StreamRecord> stream = loop.streamRecord(dispatch);
            return new StreamStatus(
                    stream.isPresent(),
                    stream.map(StreamRecord::nextOffset).orElse(0),
                    Optional.of(loop.incarnation()));
        });
    }

    private void handleCancel(HttpServerExchange exchange) {
        String dispatch = parameter(exchange, "id");
        respondWithResult(exchange, () -> loop.cancel(dispatch));
    }

    private void handleLoad(HttpServerExchange exchange) {
        respondWithResult(exchange, this::reportedLoad);
    }

    /** Returns the current load, or the last report if it is younger than the configured lag. */
    private LoadReport reportedLoad() {
        long now = System.nanoTime();
        long lagNanos = activeFaults.loadLagMillis() * 1_000_000L;
        CachedLoadReport last = lastLoadReport;
        if (lagNanos > 0 && last.report().isPresent() && now - last.createdNanos() < lagNanos) {
            return last.report().get();
        }
        LoadReport report = loop.loadReport();
        lastLoadReport = new CachedLoadReport(Optional.of(report), now);
        return report;
    }

    private void handleOrder(HttpServerExchange exchange, byte[] body) {
        SentOrder order = RecordCodec.decode(new String(body, StandardCharsets.UTF_8), SentOrder.class);
        loop.callOnLoop(() -> loop.handleOrder(order)).thenAccept(reply -> {
            int status = switch (reply) {
                case DONE -> 200;
                case REFUSED_OLD_FENCING -> HttpEngineOrders.STALE_FENCING_STATUS;
                case REFUSED -> HttpEngineOrders.REFUSED_STATUS;
            };
            Responses.sendText(exchange, status, "text/plain", reply.name());
        });
    }

    private void handleFaults(HttpServerExchange exchange, byte[] body) {
        activeFaults = RecordCodec.decode(new String(body, StandardCharsets.UTF_8), EngineFaults.class);
        Responses.sendJson(exchange, 200, activeFaults);
    }

    private void handleLeaving(HttpServerExchange exchange) {
        startLeaving();
        Responses.sendText(exchange, 200, "text/plain", "leaving");
    }

    /** Runs a query on the engine's thread and responds with its result as JSON. */
    private void respondWithResult(HttpServerExchange exchange, Supplier<?> query) {
        dispatchOnSameThread(
                exchange, () -> loop.callOnLoop(query).thenAccept(result -> Responses.sendJson(exchange, 200, result)));
    }

    /** Runs an action on the same thread after the handler has returned. */
    private static void dispatchOnSameThread(HttpServerExchange exchange, Runnable action) {
        exchange.dispatch(SameThreadExecutor.INSTANCE, action);
    }

    private static String parameter(HttpServerExchange exchange, String key) {
        return exchange.getQueryParameters().get(key).getFirst();
    }

    /**
     * The last load report.
     *
     * @param report the report; empty before the first one
     * @param createdNanos the creation time in nanoseconds of {@link System#nanoTime}
     */
    private record CachedLoadReport(Optional<LoadReport> report, long createdNanos) {}
}
