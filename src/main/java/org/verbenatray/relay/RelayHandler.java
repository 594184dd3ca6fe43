package org.verbenatray.relay;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.verbenatray.catalog.CallKind;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.Route;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.xnio.IoUtils;

/** Receives callers' requests whole, finds their routes and starts their relay. */
public final class RelayHandler implements HttpHandler {
    /** When a caller may come back while no routes are known, in milliseconds. */
    private static final long UNKNOWN_ROUTES_MILLIS = 500;

    /** When the caller of a request that crashes servers may come back, in milliseconds. */
    private static final long CRASHING_MILLIS = 60_000;

    /** When the caller of an instance that stops may come back, to another one, in milliseconds. */
    private static final long STOPPING_MILLIS = 50;

    /** The log. */
    private static final Logger log = System.getLogger(RelayHandler.class.getName());

    /** What the relay works with. */
    private final RelayParts parts;

    /** The number of open requests. */
    private int open;

    /** Creates a handler. */
    private RelayHandler(RelayParts parts) {
        this.parts = parts;
    }

    /** Returns a handler. */
    public static RelayHandler create(RelayParts parts) {
        return new RelayHandler(parts);
    }

    /** Returns the number of open requests. */
    public int open() {
        return open;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        long received = parts.ticker().nanos();
        if (parts.turningAway().getAsBoolean()) {
            exchange.setPersistent(false);
        }
        if (parts.refusing().getAsBoolean()) {
            refuse(exchange, 503, "the instance is stopping", STOPPING_MILLIS);
            return;
        }
        if (!isWellFramed(exchange.getRequestHeaders())) {
            refuse(exchange, 400, "the framing of the request is ambiguous; send one length or chunks", 0);
            return;
        }
        Optional<Catalog> catalog = parts.catalog().get();
        if (catalog.isEmpty()) {
            refuse(exchange, 503, "no routes are known yet", UNKNOWN_ROUTES_MILLIS);
            return;
        }
        long maxBody = catalog.get().limits().maxBodyBytes();
        if (exchange.getRequestContentLength() > maxBody) {
            refuse(exchange, 413, "the body is larger than " + maxBody + " bytes", 0);
            return;
        }
        if (headerBytes(exchange) > catalog.get().limits().maxHeaderBytes()) {
            refuse(exchange, 431, "the headers are larger than the limit", 0);
            return;
        }
        exchange.setMaxEntitySize(maxBody);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> receive(exchange, received));
    }

    /** Reads the body. */
    private void receive(HttpServerExchange exchange, long received) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (done, body) -> done.dispatch(SameThreadExecutor.INSTANCE, () -> begin(done, body, received)),
                        (failed, e) -> failed.dispatch(SameThreadExecutor.INSTANCE, () -> unread(failed, e)));
    }

    /** Ends an exchange whose body could not be read. */
    private void unread(HttpServerExchange exchange, IOException e) {
        if (e instanceof Receiver.RequestToLargeException) {
            refuse(exchange, 413, "the body is larger than the limit", 0);
            return;
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Finds the route of a request that was read and starts its relay. */
    private void begin(HttpServerExchange exchange, byte[] body, long received) {
        Optional<RelayRequest> read = parts.dialect().read(exchange, body, received);
        if (read.isEmpty()) {
            refuse(exchange, 400, "the request bears no id", 0);
            return;
        }
        RelayRequest request = read.get();
        Catalog catalog = parts.catalog().get().orElseThrow();
        Optional<Route> found = catalog.match(request.host(), request.path());
        if (found.isEmpty()) {
            refuse(exchange, 404, "no route of version " + catalog.version() + " leads there", 0);
            return;
        }
        Route route = found.get();
        Deadline deadline = Deadline.afterMillis(received, route.timeoutMillis());
        if (request.deadline().isPresent() && request.deadline().get().atNanos() - deadline.atNanos() < 0) {
            deadline = request.deadline().get();
        }
        open++;
        parts.metrics().openRequests(open);
        RelayCall call = new RelayCall(
                parts, request, route, catalog.version(), deadline, CallerReply.to(exchange), this::closed);
        parts.budgets().apply(call.service()).earn();
        if (parts.crashes().refuses(request.fingerprint())) {
            call.giveUp("crashes_servers", CRASHING_MILLIS);
        } else if (route.kind() == CallKind.STREAMING) {
            GenerationRelay.start(parts, call);
        } else {
            PlainRelay.start(parts, call);
        }
    }

    /** Counts a request that has its final answer. */
    private void closed() {
        open--;
        parts.metrics().openRequests(open);
    }

    /** Answers a request that has no route or can't be read. */
    private void refuse(HttpServerExchange exchange, int status, String why, long comeBackMillis) {
        Event.named("refused")
                .with("status", status)
                .with("why", why)
                .with("host", exchange.getRequestHeaders().getFirst(Headers.HOST))
                .with("path", exchange.getRequestURI())
                .with("version", parts.catalog().get().map(Catalog::version).orElse(0L))
                .log(log, Level.INFO);
        exchange.setStatusCode(status);
        if (comeBackMillis > 0) {
            parts.dialect().comeBack(exchange.getResponseHeaders(), comeBackMillis);
        }
        exchange.getResponseSender().send(ByteBuffer.wrap((why + "\n").getBytes(StandardCharsets.US_ASCII)));
    }

    /** Returns whether the length of the body is stated once and in one way. */
    private static boolean isWellFramed(HeaderMap headers) {
        HeaderValues lengths = headers.get(Headers.CONTENT_LENGTH);
        HeaderValues codings = headers.get(Headers.TRANSFER_ENCODING);
        if (lengths != null && (lengths.size() > 1 || codings != null)) {
            return false;
        }
        return codings == null || codings.size() == 1 && "chunked".equalsIgnoreCase(codings.getFirst());
    }

    /** Returns the size of the headers in bytes. */
    private static int headerBytes(HttpServerExchange exchange) {
        int total = exchange.getRequestURI().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                total += values.getHeaderName().length() + value.length() + 4;
            }
        }
        return total;
    }
}
