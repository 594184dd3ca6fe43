package org.verbenatray.servers;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** HTTP towards backend servers and the platform over pooled connections, one exchange a connection at a time. */
public final class HttpTransport {
    /** The number of idle connections kept per thread and server. */
    private static final int MAX_IDLE = 64;

    /** The time that an idle connection is kept in milliseconds; common servers close theirs after 5 s. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    /** The time that a new connection may take in milliseconds: far above any round trip between domains. */
    private static final long CONNECT_MILLIS = 500;

    /** The property that says how long the HTTP library waits for the other side when it closes, in milliseconds. */
    private static final String DRAIN_PROPERTY = "io.undertow.max-drain-time";

    /** That time: servers go on with a request until its connection is closed in both directions. */
    private static final String DRAIN_MILLIS = "1";

    /** The options of every connection. */
    private static final OptionMap CONNECT_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** The worker whose threads run the exchanges. */
    private final XnioWorker worker;

    /** The pool of buffers. */
    private final ByteBufferPool buffers;

    /** The clock of deadlines. */
    private final Ticker ticker;

    /** Idle connections by thread and server, each only touched on its own thread. */
    private final Map<XnioIoThread, Map<String, Deque<IdleConnection>>> idle = new HashMap<>();

    /** Creates a transport on the threads of a worker. */
    private HttpTransport(XnioWorker worker, ByteBufferPool buffers, Ticker ticker) {
        this.worker = worker;
        this.buffers = buffers;
        this.ticker = ticker;
    }

    /** Returns a transport on the threads of a worker. */
    public static HttpTransport create(XnioWorker worker, ByteBufferPool buffers, Ticker ticker) {
        System.setProperty(DRAIN_PROPERTY, DRAIN_MILLIS);
        return new HttpTransport(worker, buffers, ticker);
    }

    /** Returns any thread of the worker. */
    public XnioIoThread anyThread() {
        return worker.getIoThread();
    }

    /** Returns the clock of deadlines. */
    public Ticker ticker() {
        return ticker;
    }

    /** Sends a call and returns the whole reply; fails with a {@link ServerFailure}. */
    public CompletableFuture<HttpReply> call(HttpCall call, XnioIoThread thread, Deadline deadline, int maxBody) {
        WholeReply whole = new WholeReply(maxBody);
        Cancellation cancellation = exchange(call, thread, whole);
        whole.cancelWith(cancellation);
        XnioIoThread.Key timer = thread.executeAfter(
                () -> whole.onFailure(ServerFailure.create(
                        ServerFailure.Kind.SILENT, "no whole reply from " + call.address() + " by the deadline")),
                Math.max(1, deadline.remainingMillis(ticker.nanos())),
                TimeUnit.MILLISECONDS);
        whole.future().whenComplete((reply, failure) -> timer.remove());
        return whole.future();
    }

    /** Sends a call and passes its reply to the listener on the given thread. */
    public Cancellation exchange(HttpCall call, XnioIoThread thread, ReplyListener listener) {
        HttpExchange exchange = new HttpExchange(this, call, thread, listener);
        thread.execute(() -> connect(call, thread, exchange));
        return () -> thread.execute(exchange::cancel);
    }

    /** Keeps a connection whose exchange is complete for the next call. */
    void release(XnioIoThread thread, String pool, ClientConnection connection) {
        thread.execute(() -> keep(thread, pool, connection));
    }

    /** Closes the idle connections of a pool on every thread. */
    public void closeIdle(String pool) {
        List<XnioIoThread> threads;
        synchronized (idle) {
            threads = List.copyOf(idle.keySet());
        }
        for (XnioIoThread thread : threads) {
            thread.execute(() -> {
                Deque<IdleConnection> connections = ofThread(thread).remove(pool);
                if (connections != null) {
                    connections.forEach(kept -> close(kept.connection()));
                }
            });
        }
    }

    /** Closes a connection and ignores what it says. */
    static void close(ClientConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // The connection is of no further use either way.
        }
    }

    /** Keeps a connection, one turn of the thread after its exchange, so that stray bytes were seen before. */
    private void keep(XnioIoThread thread, String pool, ClientConnection connection) {
        Deque<IdleConnection> connections = idleOf(thread, pool);
        if (connection.isOpen() && connections.size() < MAX_IDLE) {
            connections.addLast(new IdleConnection(connection, Deadline.afterMillis(ticker.nanos(), MAX_IDLE_MILLIS)));
            return;
        }
        close(connection);
    }

    /** Starts the exchange on an idle connection or on a new one. */
    private void connect(HttpCall call, XnioIoThread thread, HttpExchange exchange) {
        if (call.use() != ConnectionUse.FRESH) {
            Deque<IdleConnection> connections = idleOf(thread, call.pool());
            for (IdleConnection next = connections.pollLast(); next != null; next = connections.pollLast()) {
                if (next.connection().isOpen() && !next.usableUntil().passed(ticker.nanos())) {
                    exchange.start(next.connection(), true);
                    return;
                }
                close(next.connection());
            }
        }
        connectAnew(call, thread, exchange);
    }

    /** Starts the exchange on a new connection. */
    void connectAnew(HttpCall call, XnioIoThread thread, HttpExchange exchange) {
        XnioIoThread.Key timer = thread.executeAfter(
                () -> exchange.fail(ServerFailure.create(
                        ServerFailure.Kind.NOT_CONNECTED,
                        "no connection to " + call.address() + " within " + CONNECT_MILLIS + " ms")),
                CONNECT_MILLIS,
                TimeUnit.MILLISECONDS);
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                timer.remove();
                                exchange.start(connection, false);
                            }

                            @Override
                            public void failed(IOException e) {
                                timer.remove();
                                exchange.fail(ServerFailure.create(
                                        ServerFailure.Kind.NOT_CONNECTED,
                                        "cannot connect to " + call.address() + ": " + e.getMessage(),
                                        e));
                            }
                        },
                        call.address(),
                        thread,
                        buffers,
                        CONNECT_OPTIONS);
    }

    /** Returns the idle connections of a thread in a pool. */
    private Deque<IdleConnection> idleOf(XnioIoThread thread, String pool) {
        return ofThread(thread).computeIfAbsent(pool, key -> new ArrayDeque<>());
    }

    /** Returns the pools of a thread. */
    private Map<String, Deque<IdleConnection>> ofThread(XnioIoThread thread) {
        synchronized (idle) {
            return idle.computeIfAbsent(thread, key -> new HashMap<>());
        }
    }

    /**
     * A connection without an exchange.
     *
     * @param connection the connection
     * @param usableUntil when the server may close it for being idle
     */
    private record IdleConnection(ClientConnection connection, Deadline usableUntil) {}
}
