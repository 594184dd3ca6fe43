package org.verbenatray.relay;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.verbenatray.catalog.CallerLimits;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Ticker;
import org.verbenatray.web.Responses;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The HTTP listener for callers. It closes connections by the limits of the configuration and by the monotonic clock;
 * the time limits of the HTTP server itself are fixed at its start and go by the time of day. Its work runs on the one
 * I/O thread.
 */
final class CallerListener implements AutoCloseable {
    private static final int BUFFER_BYTES = 1_024;

    private static final int MAX_WAITING_CONNECTIONS = 1_000;

    /** The time between two checks of all connections, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 250;

    private static final Logger log = System.getLogger(CallerListener.class.getName());

    private final XnioIoThread thread;

    private final Ticker ticker;

    private final CallerPatience patience = CallerPatience.create();

    /** The open connections; closed ones remain up to the next check. */
    private final Map<StreamConnection, CallerConnection> connections = new IdentityHashMap<>();

    private final HttpOpenListener http;

    private final AcceptingChannel<StreamConnection> channel;

    private CallerListener(XnioWorker worker, Ticker ticker, InetSocketAddress address, OptionMap options)
            throws IOException {
        this.thread = worker.getIoThread();
        this.ticker = ticker;
        this.http = new HttpOpenListener(new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4), options);
        this.channel = worker.createStreamConnectionServer(
                address,
                ChannelListeners.openListenerAdapter(this::onConnected),
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, MAX_WAITING_CONNECTIONS)
                        .getMap());
    }

    /** Starts a listener; fails with an {@link UncheckedIOException} if the address cannot be bound. */
    static CallerListener start(
            XnioWorker worker, Ticker ticker, InetSocketAddress address, int maxHeaderBytes, HttpHandler callers) {
        OptionMap options = OptionMap.builder()
                .set(UndertowOptions.MAX_HEADER_SIZE, maxHeaderBytes)
                .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.DECODE_URL, false)
                .getMap();
        try {
            CallerListener listener = new CallerListener(worker, ticker, address, options);
            listener.http.setRootHandler(exchange -> listener.handle(exchange, callers));
            listener.channel.resumeAccepts();
            listener.scheduleCheck();
            return listener;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot listen for callers on " + address, e);
        }
    }

    /** Returns the address on which the listener is bound. */
    InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Applies the limits of a newer configuration. */
    void apply(CallerLimits limits) {
        patience.apply(limits, ticker.nanos());
    }

    /** Stops accepting connections, once; a second close would wait for threads that may have ended. */
    @Override
    public void close() {
        if (channel.isOpen()) {
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Waits for the first bytes of a new connection. They are not read at once, although they may have arrived: the
     * I/O thread handles all new connections before it looks for anything else that is readable, so callers that are
     * refused and connect again at once would keep it from the responses of servers and from its timers.
     */
    private void onConnected(StreamConnection connection) {
        connections.put(connection, CallerConnection.watch(connection, patience, ticker));
        connection.getSourceChannel().setReadListener(readable -> http.handleEvent(connection));
        connection.getSourceChannel().resumeReads();
    }

    private void handle(HttpServerExchange exchange, HttpHandler callers) throws Exception {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            CallerConnection caller = connections.get(connection.getChannel());
            Optional<String> malformation = caller == null ? Optional.empty() : caller.requestBegun(exchange);
            if (malformation.isPresent()) {
                refuse(exchange, malformation.get());
                return;
            }
        }
        callers.handleRequest(exchange);
    }

    /** Refuses a malformed request and closes its connection, as nothing tells where the next request begins. */
    private static void refuse(HttpServerExchange exchange, String malformation) {
        Event.named("request_malformed")
                .with("caller", exchange.getSourceAddress())
                .with("path", exchange.getRequestURI())
                .with("why", malformation)
                .log(log, Level.INFO);
        exchange.setPersistent(false);
        Responses.sendText(exchange, 400, "text/plain", "the request is malformed: " + malformation + "\n");
    }

    private void scheduleCheck() {
        thread.executeAfter(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        connections.values().removeIf(connection -> !connection.isOpen());
        connections.values().forEach(CallerConnection::closeIfOverdue);
        scheduleCheck();
    }
}
