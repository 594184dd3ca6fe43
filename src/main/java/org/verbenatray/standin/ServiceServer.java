package org.verbenatray.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenatray.web.RequestBodies;
import org.verbenatray.web.Responses;
import org.xnio.IoUtils;

/**
 * A stand-in plain service that counts how often it ran each call. A call is identified by method, path and body. Safe
 * for concurrent use.
 */
public final class ServiceServer implements AutoCloseable {
    /** The request header with the dispatch id, which is echoed in the response. */
    public static final HttpString DISPATCH_HEADER = new HttpString("X-Dispatch-Id");

    /** The number of runs by method, path and body. */
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    private final Undertow server;

    /** The body of every response; empty for a JSON {@link RunCount}. */
    private volatile Optional<byte[]> fixedResponse = Optional.empty();

    /** The number of coming responses to drop after the call has run. */
    private final AtomicInteger responsesToDrop = new AtomicInteger();

    /** The headers of the last request, with lower-case names. */
    private volatile Map<String, List<String>> lastRequestHeaders = Map.of();

    /** The delay between a call's run and its response in milliseconds. */
    private volatile long responseDelayMillis;

    private ServiceServer(InetSocketAddress address) {
        this.server = Undertow.builder()
                .addHttpListener(address.getPort(), address.getHostString())
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(exchange -> RequestBodies.read(
                        exchange,
                        this::serve,
                        broken -> Responses.sendText(broken, 400, "text/plain", "the body is broken")))
                .build();
        server.start();
    }

    /** Starts and returns a service. Port zero selects a free port. */
    public static ServiceServer start(InetSocketAddress address) {
        return new ServiceServer(address);
    }

    /** Returns the base URI. */
    public String address() {
        InetSocketAddress bound =
                (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
        return "http://" + bound.getHostString() + ":" + bound.getPort();
    }

    /** Returns how often a call has run. */
    public int runs(String method, String path, String body) {
        AtomicInteger count = runs.get(key(method, path, body));
        return count == null ? 0 : count.get();
    }

    /** Returns the largest number of runs of any one call other than GET; 0 if there was none. */
    public int maxRunsOfNonGetCalls() {
        return runs.entrySet().stream()
                .filter(entry -> !entry.getKey().startsWith("GET "))
                .mapToInt(entry -> entry.getValue().get())
                .max()
                .orElse(0);
    }

    /** Returns the headers of the last request, with lower-case names. */
    public Map<String, List<String>> lastRequestHeaders() {
        return lastRequestHeaders;
    }

    /** Sets the body of all further responses. */
    public void setFixedResponse(byte[] bytes) {
        fixedResponse = Optional.of(bytes.clone());
    }

    /** Sets the number of coming calls that run but whose connection is closed without a response. */
    public void dropResponses(int count) {
        responsesToDrop.set(count);
    }

    /** Sets the delay between a call's run and its response in milliseconds. */
    public void setResponseDelayMillis(long newDelayMillis) {
        responseDelayMillis = newDelayMillis;
    }

    @Override
    public void close() {
        server.stop();
    }

    private void serve(HttpServerExchange exchange, byte[] body) {
        lastRequestHeaders = headersOf(exchange);
        String method = exchange.getRequestMethod().toString();
        String text = new String(body, StandardCharsets.UTF_8);
        int count = runs.computeIfAbsent(key(method, exchange.getRequestPath(), text), key -> new AtomicInteger())
                .incrementAndGet();
        if (responsesToDrop.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        String dispatch = exchange.getRequestHeaders().getFirst(DISPATCH_HEADER);
        if (dispatch != null) {
            exchange.getResponseHeaders().put(DISPATCH_HEADER, dispatch);
        }
        if (fixedResponse.isPresent()) {
            Responses.sendBytes(exchange, 200, "application/octet-stream", fixedResponse.get());
            return;
        }
        RunCount runCount = new RunCount(method, exchange.getRequestPath(), count);
        if (responseDelayMillis == 0) {
            Responses.sendJson(exchange, 200, runCount);
            return;
        }
        exchange.getIoThread()
                .executeAfter(
                        () -> Responses.sendJson(exchange, 200, runCount), responseDelayMillis, TimeUnit.MILLISECONDS);
    }

    private static Map<String, List<String>> headersOf(HttpServerExchange exchange) {
        Map<String, List<String>> headers = new TreeMap<>();
        exchange.getRequestHeaders()
                .forEach(values ->
                        headers.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), List.copyOf(values)));
        return headers;
    }

    private static String key(String method, String path, String body) {
        return method + " " + path + " " + body;
    }

    /**
     * The JSON body of a response.
     *
     * @param method the method
     * @param path the path
     * @param runs the number of runs of the same call so far
     */
    public record RunCount(String method, String path, int runs) {}
}
