package org.verbenatray.relay;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.RouteKind;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.telemetry.Event;
import org.xnio.IoUtils;

/** Handles callers' requests: validates them, buffers their bodies, matches their routes and starts relaying. */
public final class RelayHandler implements HttpHandler {
    /** Retry-after time while no routes are known. */
    private static final long NO_ROUTES_RETRY_AFTER_MILLIS = 500;

    /** Retry-after time of a request whose handling fails before it is relayed. */
    private static final long FAILED_RETRY_AFTER_MILLIS = 500;

    /** Retry-after time of a request whose body finds no room. */
    private static final long NO_ROOM_RETRY_AFTER_MILLIS = 1_000;

    /** Time in milliseconds in which a change of the catalog reaches an instance that is not cut off. */
    private static final long CATALOG_NEWS_MILLIS = 100;

    private static final Logger log = System.getLogger(RelayHandler.class.getName());

    private final RelayContext context;

    private final RequestCounts counts;

    private final ForwardedRequests forwarded;

    private final UnsentResponses unsentResponses = UnsentResponses.create();

    private final RefusalLog refusals;

    private final RequestMatcher matcher;

    private RelayHandler(RelayContext context) {
        this.context = context;
        this.refusals = RefusalLog.create(event -> event.log(log, Level.INFO), context.ticker(), context.scheduler());
        this.matcher = RequestMatcher.create(context.catalog(), context.dialect());
        this.counts = RequestCounts.create(context.metrics());
        this.forwarded = ForwardedRequests.create(context.closingConnections());
    }

    /** Creates a handler. */
    public static RelayHandler create(RelayContext context) {
        return new RelayHandler(context);
    }

    /** Returns the counts of the requests that were read whole and of their ends. */
    public RequestCounts counts() {
        return counts;
    }

    /** Returns the responses that are due or not yet written. */
    public UnsentResponses unsentResponses() {
        return unsentResponses;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        RequestGuard guard = RequestGuard.create(() -> endFailed(exchange, end -> {}));
        guard.run(() -> receive(exchange, guard, false));
    }

    /** Handles a request that another instance forwards because it reaches no server. */
    public void handleForwarded(HttpServerExchange exchange) {
        RequestGuard guard = RequestGuard.create(() -> endFailed(exchange, end -> {}));
        guard.run(() -> {
            if (!forwarded.accept(exchange)) {
                exchange.getResponseHeaders().put(ForwardedRequests.DECLINED, "1");
                reject(exchange, 503, "another instance serves this better", RelayCall.STOPPING_RETRY_AFTER_MILLIS);
                return;
            }
            receive(exchange, guard, true);
        });
    }

    /** Checks the head of a request and starts to read its body. */
    private void receive(HttpServerExchange exchange, RequestGuard guard, boolean isForwarded) {
        long receivedNanos = context.ticker().nanos();
        if (context.closingConnections().getAsBoolean()) {
            exchange.setPersistent(false);
        }
        if (context.stop().rejectsRequests()) {
            reject(exchange, 503, "the instance is stopping", RelayCall.STOPPING_RETRY_AFTER_MILLIS);
            return;
        }
        Optional<Catalog> catalog = context.catalog().get();
        if (catalog.isEmpty()) {
            reject(exchange, 503, "no routes are known yet", NO_ROUTES_RETRY_AFTER_MILLIS);
            return;
        }
        long maxBodyBytes = catalog.get().limits().maxBodyBytes();
        if (exchange.getRequestContentLength() > maxBodyBytes) {
            reject(exchange, 413, "the body is larger than " + maxBodyBytes + " bytes", 0);
            return;
        }
        if (headerBytes(exchange) > catalog.get().limits().maxHeaderBytes()) {
            reject(exchange, 431, "the headers are larger than the limit", 0);
            return;
        }
        exchange.setMaxEntitySize(maxBodyBytes);
        Receipt receipt = new Receipt(receivedNanos, maxBodyBytes, isForwarded);
        exchange.dispatch(SameThreadExecutor.INSTANCE, guard.wrap(() -> readBody(exchange, guard, receipt)));
    }

    private void readBody(HttpServerExchange exchange, RequestGuard guard, Receipt receipt) {
        RequestBodyReader.read(exchange, receipt.maxBodyBytes(), memory(), guard, new RequestBodyReader.Listener() {
            @Override
            public void onBody(byte[] body, MemoryAccount.Share share) {
                startRelay(exchange, new KeptBody(exchange, body, share), guard, receipt);
            }

            @Override
            public void onFailure(IOException failure) {
                handleReadFailure(exchange, failure);
            }

            @Override
            public void onNoRoom() {
                exchange.setPersistent(false);
                reject(exchange, 503, "no memory is left for the body", NO_ROOM_RETRY_AFTER_MILLIS);
            }
        });
    }

    private MemoryAccount memory() {
        return context.transport().memory();
    }

    /**
     * Refuses a request whose body is too large or cannot be read to its end, and closes the connection. After a
     * chunked body that ends early the HTTP library has closed the channel, so that nothing can be sent.
     */
    private void handleReadFailure(HttpServerExchange exchange, IOException e) {
        exchange.setPersistent(false);
        if (e instanceof RequestTooBigException) {
            reject(exchange, 413, "the body is larger than the limit", 0);
        } else if (exchange.getConnection().isOpen()) {
            reject(exchange, 400, "the body cannot be read: " + e.getMessage(), 0);
        } else {
            Event.named("request_broken")
                    .with("why", e.getMessage())
                    .with("host", exchange.getRequestHeaders().getFirst(Headers.HOST))
                    .with("path", exchange.getRequestURI())
                    .log(log, Level.INFO);
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Parses a request that was read whole, and matches it. */
    private void startRelay(HttpServerExchange exchange, KeptBody body, RequestGuard guard, Receipt receipt) {
        counts.recordRead();
        unsentResponses.add(exchange);
        Consumer<RequestEnd> onEnd = end -> {
            counts.recordEnd(end);
            body.requestEnded();
        };
        guard.setEnding(() -> endFailed(exchange, onEnd));
        Optional<RelayRequest> parsedRequest = context.dialect().readRequest(exchange, body.bytes(), receipt.nanos());
        if (parsedRequest.isEmpty()) {
            reject(exchange, 400, "the request carries no id", 0);
            onEnd.accept(RequestEnd.REFUSED);
            return;
        }
        guard.setRequestId(parsedRequest.get().id());
        match(new ReadRequest(exchange, parsedRequest.get(), guard, onEnd), receipt, false);
    }

    /**
     * Matches the route and the customer of a request and relays it, or refuses it. A request with an unknown key is
     * matched once more after a moment, as the key may have just been added.
     */
    private void match(ReadRequest read, Receipt receipt, boolean waited) {
        RequestMatcher.Match match = matcher.match(read.request(), receipt.forwarded(), waited);
        if (match instanceof RequestMatcher.Matched matched) {
            relay(matched.request(), read);
        } else if (match instanceof RequestMatcher.Refused refused) {
            reject(read.exchange(), refused.status(), refused.reason(), refused.retryAfterMillis());
            read.onEnd().accept(RequestEnd.REFUSED);
        } else {
            context.thread()
                    .executeAfter(
                            read.guard().wrap(() -> match(read, receipt, true)),
                            CATALOG_NEWS_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Relays a request that has matched. */
    private void relay(MatchedRequest matched, ReadRequest read) {
        RequestGuard guard = read.guard();
        CallerResponse response = CallerResponse.to(read.exchange(), memory(), guard);
        RelayCall call = new RelayCall(context, matched, response, guard, read.onEnd());
        guard.setEnding(call::fail);
        if (!matched.forwarded()) {
            context.retryBudgets().apply(call.service()).recordRequest();
        }
        response.onDisconnect(call::callerDisconnected);
        response.checkCaller();
        if (call.finished()) {
            return;
        }
        if (!call.maySend()) {
            call.giveUpUnsendable();
        } else if (context.forwardingTargets().isPartitioned()) {
            PeerRelay.startOrElse(context, call, () -> start(call));
        } else {
            start(call);
        }
    }

    /** Starts to relay a call to the servers of its service. */
    private void start(RelayCall call) {
        if (call.route().kind() == RouteKind.STREAMING) {
            GenerationRelay.start(context, call);
        } else {
            PlainRelay.start(context, call);
        }
    }

    /**
     * Ends a request whose handling has failed before it was relayed: refuses it, or closes its connection if that is
     * not possible. Reports how it has ended.
     */
    private void endFailed(HttpServerExchange exchange, Consumer<RequestEnd> onEnd) {
        RequestEnd end = RequestEnd.CUT_BY_INSTANCE;
        try {
            if (exchange.isResponseChannelAvailable()) {
                reject(exchange, 503, "internal error", FAILED_RETRY_AFTER_MILLIS);
                end = RequestEnd.REFUSED;
            }
        } finally {
            if (end == RequestEnd.CUT_BY_INSTANCE) {
                IoUtils.safeClose(exchange.getConnection());
            }
            onEnd.accept(end);
        }
    }

    /** Responds to a request that is not relayed. */
    private void reject(HttpServerExchange exchange, int status, String reason, long retryAfterMillis) {
        refusals.record(() -> Event.named("refused")
                .with("status", status)
                .with("why", reason)
                .with("host", exchange.getRequestHeaders().getFirst(Headers.HOST))
                .with("path", exchange.getRequestURI())
                .with("version", context.catalog().get().map(Catalog::version).orElse(0L)));
        unsentResponses.add(exchange);
        exchange.setStatusCode(status);
        if (retryAfterMillis > 0) {
            context.dialect().addRetryAfter(exchange.getResponseHeaders(), retryAfterMillis);
        }
        exchange.getResponseSender().send(ByteBuffer.wrap((reason + "\n").getBytes(StandardCharsets.US_ASCII)));
    }

    /** Returns the size of the request target and the headers in bytes. */
    private static int headerBytes(HttpServerExchange exchange) {
        int total = exchange.getRequestURI().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                total += values.getHeaderName().length() + value.length() + 4;
            }
        }
        return total;
    }

    /**
     * A request that was read whole.
     *
     * @param exchange its exchange with the caller
     * @param request the request
     * @param guard runs its steps
     * @param onEnd receives how it ends
     */
    private record ReadRequest(
            HttpServerExchange exchange, RelayRequest request, RequestGuard guard, Consumer<RequestEnd> onEnd) {}

    /**
     * How a request was received.
     *
     * @param nanos when its head was read, in nanoseconds of the ticker
     * @param maxBodyBytes the largest body that is accepted
     * @param forwarded whether another instance forwards it
     */
    private record Receipt(long nanos, long maxBodyBytes, boolean forwarded) {}
}
