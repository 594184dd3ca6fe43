package org.verbenatray.standin;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.log.LogService;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.HttpInstanceList.Listing;
import org.verbenatray.servers.HttpLogService.AppendRequest;
import org.verbenatray.servers.HttpLogService.AppendResponse;
import org.verbenatray.web.RequestBodies;
import org.verbenatray.web.Responses;

/** A stand-in platform that offers the log service and the instance list over HTTP. Safe for concurrent use. */
public final class PlatformServer implements AutoCloseable {
    /** The maximum number of records per page. */
    private static final int MAX_PAGE = 10_000;

    private final InMemoryLog log;

    /** The registered instances by name. */
    private final Map<String, Registration> instances = new ConcurrentHashMap<>();

    private final RoutingHandler routes;

    private final Undertow server;

    /** Whether every request is answered with status 503. */
    private volatile boolean unavailable;

    private PlatformServer(InetSocketAddress address, InMemoryLog records) {
        this.log = records;
        this.routes = Handlers.routing()
                .post("/log", exchange -> RequestBodies.read(exchange, this::append, PlatformServer::rejectBody))
                .get("/log", this::read)
                .get("/instances", exchange -> Responses.sendJson(exchange, 200, listing()))
                .delete("/instances/{name}", this::unregister)
                .put(
                        "/instances/{name}",
                        exchange -> RequestBodies.read(exchange, this::register, PlatformServer::rejectBody));
        this.server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getHostString())
                .setIoThreads(2)
                .setWorkerThreads(1)
                .setHandler(this::handle)
                .build();
        server.start();
    }

    /** Starts and returns a platform with the given log. Port zero selects a free port. */
    public static PlatformServer start(InetSocketAddress address, InMemoryLog records) {
        return new PlatformServer(address, records);
    }

    /** Returns the base URI. */
    public String address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }

    /** Returns the log, into which tests inject faults. */
    public InMemoryLog log() {
        return log;
    }

    /** Removes the instances whose process has terminated and returns the others. */
    public Listing listing() {
        instances.values().removeIf(Registration::hasTerminated);
        List<InstanceEntry> entries =
                instances.values().stream().map(Registration::entry).toList();
        return new Listing(entries);
    }

    /** Adds or replaces an instance that stays listed until {@link #removeInstance}. */
    public void addInstance(InstanceEntry entry) {
        instances.put(entry.name(), new Registration(entry, OptionalLong.empty()));
    }

    /** Removes an instance from the list. */
    public void removeInstance(String name) {
        instances.remove(name);
    }

    /** Sets whether the instance list and the log are unavailable. */
    public void setUnavailable(boolean newUnavailable) {
        unavailable = newUnavailable;
        log.setUnavailable(newUnavailable);
    }

    @Override
    public void close() {
        server.stop();
    }

    /** Routes a request, or responds with status 503 while the platform is unavailable. */
    void handle(HttpServerExchange exchange) throws Exception {
        if (unavailable) {
            Responses.sendText(exchange, 503, "text/plain", "the platform is out of service; try again later");
            return;
        }
        routes.handleRequest(exchange);
    }

    private void append(HttpServerExchange exchange, byte[] body) {
        AppendRequest request = RecordCodec.decode(new String(body, StandardCharsets.UTF_8), AppendRequest.class);
        log.append(request.records()).whenComplete((offset, failure) -> {
            if (failure != null) {
                Responses.sendText(exchange, 503, "text/plain", String.valueOf(failure.getMessage()));
            } else {
                Responses.sendJson(exchange, 200, new AppendResponse(offset));
            }
        });
    }

    private void read(HttpServerExchange exchange) {
        long from = Long.parseLong(exchange.getQueryParameters().get("from").getFirst());
        int limit = Integer.parseInt(exchange.getQueryParameters().get("limit").getFirst());
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> page(exchange, log, from, limit));
    }

    private static void page(HttpServerExchange exchange, LogService source, long from, int limit) {
        source.read(from, Math.min(limit, MAX_PAGE)).whenComplete((page, failure) -> {
            if (failure != null) {
                Responses.sendText(exchange, 503, "text/plain", String.valueOf(failure.getMessage()));
            } else {
                Responses.sendJson(exchange, 200, page);
            }
        });
    }

    private void register(HttpServerExchange exchange, byte[] body) {
        InstanceEntry entry = RecordCodec.decode(new String(body, StandardCharsets.UTF_8), InstanceEntry.class);
        long pid = Long.parseLong(exchange.getQueryParameters().get("pid").getFirst());
        instances.put(entry.name(), new Registration(entry, OptionalLong.of(pid)));
        Responses.sendText(exchange, 200, "text/plain", "noted");
    }

    private void unregister(HttpServerExchange exchange) {
        removeInstance(exchange.getQueryParameters().get("name").getFirst());
        Responses.sendText(exchange, 200, "text/plain", "noted");
    }

    private static void rejectBody(HttpServerExchange exchange) {
        Responses.sendText(exchange, 400, "text/plain", "the body is broken; send JSON");
    }

    /**
     * A listed instance.
     *
     * @param entry the entry in the instance list
     * @param pid the process id of the instance; empty if it stays listed until it is removed
     */
    private record Registration(InstanceEntry entry, OptionalLong pid) {
        /** Returns whether the process of the instance has terminated. A paused process has not. */
        boolean hasTerminated() {
            return pid.isPresent() && ProcessHandle.of(pid.getAsLong()).isEmpty();
        }
    }
}
