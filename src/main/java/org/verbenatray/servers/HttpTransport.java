package org.verbenatray.servers;

import io.undertow.connector.ByteBufferPool;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP client for backend servers and the platform, without pipelining, over pooled connections.
 *
 * <p>Each I/O thread has its own pools. Listeners are called on the I/O thread of the exchange.
 */
public final class HttpTransport {
    /**
     * The time beyond a round trip in which a server that takes no more connections resets a new one, in milliseconds.
     */
    public static final long ADMISSION_MILLIS = 2;

    /** The largest number of idle connections per thread and pool. */
    private static final int MAX_IDLE_CONNECTIONS = 64;

    /** The lifetime of an idle connection; common servers close theirs after 5 s. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    /** The idle time up to which a connection counts as confirmed; servers drop idle ones without notice at times. */
    private static final long MAX_CONFIRMED_IDLE_MILLIS = 1_000;

    /** The longest round trip that is awaited for the reset of a new connection. */
    private static final long MAX_ROUND_TRIP_MILLIS = 8;

    /** The uses for which a new connection counts only once its server has not reset it. */
    private static final Set<ConnectionUse> ADMISSION_AWAITED =
            EnumSet.of(ConnectionUse.CONFIRMED, ConnectionUse.POOLED);

    /** The connect timeout, far above any round-trip time between failure domains. */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    private static final int MAX_PORT = 65_535;

    private final XnioWorker worker;

    private final ByteBufferPool buffers;

    private final Ticker ticker;

    private final MemoryAccount memory;

    private final SilenceTimers silenceTimers;

    /** Set before the first call. */
    private TrafficListener trafficListener = TrafficListener.NONE;

    /** The time beyond a round trip for which the reset of a new connection is awaited, in milliseconds. */
    private final long admissionMillis;

    /** The idle connections by thread and pool. The map is guarded by itself, each value is confined to its thread. */
    private final Map<XnioIoThread, Map<String, Deque<IdleConnection>>> idle = new HashMap<>();

    /** The openers of connections by thread. */
    private final Map<XnioIoThread, ConnectionOpener> openers = new ConcurrentHashMap<>();

    private HttpTransport(
            XnioWorker worker, ByteBufferPool buffers, Ticker ticker, MemoryAccount memory, long admissionMillis) {
        this.worker = worker;
        this.memory = memory;
        this.admissionMillis = admissionMillis;
        this.buffers = buffers;
        this.ticker = ticker;
        this.silenceTimers = SilenceTimers.create();
    }

    /** Returns a transport on the I/O threads of a worker, without a bound on the sum of its responses. */
    public static HttpTransport create(XnioWorker worker, ByteBufferPool buffers, Ticker ticker) {
        return create(worker, buffers, ticker, MemoryAccount.unbounded(), ADMISSION_MILLIS);
    }

    /**
     * Returns a transport as {@link #create(XnioWorker, ByteBufferPool, Ticker)} with an account for its responses. It
     * awaits the reset of a new connection for the given time in milliseconds beyond a round trip.
     */
    public static HttpTransport create(
            XnioWorker worker, ByteBufferPool buffers, Ticker ticker, MemoryAccount memory, long admissionMillis) {
        return new HttpTransport(worker, buffers, ticker, memory, admissionMillis);
    }

    /** Returns an I/O thread of the worker. */
    public XnioIoThread anyThread() {
        return worker.getIoThread();
    }

    /** Returns the time source of deadlines. */
    public Ticker ticker() {
        return ticker;
    }

    /** Returns the timers of what is concluded from silence. */
    public SilenceTimers silenceTimers() {
        return silenceTimers;
    }

    /** Sets the listener for the connections of all calls; call before the first one. */
    public void setTrafficListener(TrafficListener listener) {
        trafficListener = listener;
    }

    /** Returns the listener for the connections of all calls. */
    TrafficListener trafficListener() {
        return trafficListener;
    }

    /** Returns the account of the bytes that are kept. */
    public MemoryAccount memory() {
        return memory;
    }

    /**
     * Sends a call and returns the complete response.
     *
     * <p>The future fails with a {@link ServerFailure} if the response is not complete by the deadline or its body
     * exceeds the limit in bytes or is the largest when the memory of all responses is exhausted.
     */
    public CompletableFuture<BufferedResponse> call(
            HttpCall call, XnioIoThread thread, Deadline deadline, int maxBodyBytes) {
        ResponseCollector collector = new ResponseCollector(maxBodyBytes, memory, thread);
        Cancellation cancellation = exchange(call, thread, collector);
        collector.setCancellation(cancellation);
        XnioIoThread.Key timer = silenceTimers.schedule(
                thread,
                () -> collector.onFailure(ServerFailure.create(
                        ServerFailure.Kind.TIMED_OUT,
                        "no complete response from " + call.address() + " by the deadline")),
                Math.max(1, deadline.remainingMillis(ticker.nanos())));
        collector.future().whenComplete((response, failure) -> timer.remove());
        return collector.future();
    }

    /**
     * Sends a call and streams its response to the listener on the given thread. A call that is cancelled on that
     * thread before {@link ResponseListener#onSending} is never sent.
     */
    public Cancellation exchange(HttpCall call, XnioIoThread thread, ResponseListener listener) {
        HttpExchange exchange = new HttpExchange(this, call, thread, listener);
        thread.execute(() -> startOnPooledConnection(call, thread, exchange));
        return () -> {
            if (Thread.currentThread() == thread) {
                exchange.cancel();
            } else {
                thread.execute(exchange::cancel);
            }
        };
    }

    /** Returns a connection to the pool after a complete exchange. */
    void release(XnioIoThread thread, String pool, ServerConnection connection) {
        thread.execute(() -> addIdle(thread, pool, connection));
    }

    /** Closes the idle connections of a pool on all threads. */
    public void closeIdleConnections(String pool) {
        List<XnioIoThread> threads;
        synchronized (idle) {
            threads = List.copyOf(idle.keySet());
        }
        for (XnioIoThread thread : threads) {
            thread.execute(() -> {
                Deque<IdleConnection> connections = poolsOf(thread).remove(pool);
                if (connections != null) {
                    connections.forEach(kept -> kept.connection().close());
                }
            });
        }
    }

    /**
     * Adds a connection to the pool, or closes it if it is closed or the pool is full. Runs as a task of its own after
     * the exchange, so that unexpected bytes from the server have been noticed.
     */
    private void addIdle(XnioIoThread thread, String pool, ServerConnection connection) {
        Deque<IdleConnection> connections = idleOf(thread, pool);
        if (connection.isOpen() && connections.size() < MAX_IDLE_CONNECTIONS) {
            long now = ticker.nanos();
            connections.addLast(new IdleConnection(
                    connection,
                    Deadline.afterMillis(now, MAX_CONFIRMED_IDLE_MILLIS),
                    Deadline.afterMillis(now, MAX_IDLE_MILLIS)));
            return;
        }
        connection.close();
    }

    /** Starts the exchange on an idle connection if the call permits and one is usable, otherwise on a new one. */
    private void startOnPooledConnection(HttpCall call, XnioIoThread thread, HttpExchange exchange) {
        if (call.connectionUse() != ConnectionUse.NEW) {
            Optional<ServerConnection> usable = takeUsable(call, idleOf(thread, call.pool()));
            if (usable.isPresent()) {
                exchange.start(usable.get(), true);
                return;
            }
        }
        startOnNewConnection(call, thread, exchange);
    }

    /** Takes the usable connection that was idle least, and closes those that are not usable any more. */
    private Optional<ServerConnection> takeUsable(HttpCall call, Deque<IdleConnection> connections) {
        List<IdleConnection> passedOver = new ArrayList<>();
        Optional<ServerConnection> usable = Optional.empty();
        while (usable.isEmpty() && !connections.isEmpty()) {
            IdleConnection next = connections.pollLast();
            if (call.requestId().filter(next.connection()::hasCarried).isPresent()) {
                passedOver.add(0, next);
            } else if (next.isUsable(call.connectionUse(), ticker.nanos())) {
                usable = Optional.of(next.connection());
            } else {
                next.connection().close();
            }
        }
        connections.addAll(passedOver);
        return usable;
    }

    /**
     * Opens a connection and adds it to a pool; the future fails with a {@link ServerFailure} if that is not possible
     * within the connect timeout.
     */
    public CompletableFuture<Void> connect(URI address, XnioIoThread thread, String pool) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        open(
                address,
                thread,
                CallPurpose.CHECK,
                connection -> {
                    release(thread, pool, connection);
                    done.complete(null);
                },
                done::completeExceptionally);
        return done;
    }

    /** Starts the exchange on a new connection, or fails it after the connect timeout. */
    void startOnNewConnection(HttpCall call, XnioIoThread thread, HttpExchange exchange) {
        long startNanos = ticker.nanos();
        open(
                call.address(),
                thread,
                call.purpose(),
                connection -> {
                    if (ADMISSION_AWAITED.contains(call.connectionUse())) {
                        startWhenAdmitted(connection, startNanos, thread, exchange);
                    } else {
                        exchange.start(connection, false);
                    }
                },
                exchange::fail);
    }

    /**
     * Starts the exchange on a new connection once a server that takes no more connections would have reset it. A
     * request that was written before the reset may have run, one that was not has not.
     */
    private void startWhenAdmitted(
            ServerConnection connection, long connectNanos, XnioIoThread thread, HttpExchange exchange) {
        long roundTripMillis = (ticker.nanos() - connectNanos) / 1_000_000;
        long waitMillis = Math.min(MAX_ROUND_TRIP_MILLIS, roundTripMillis) + admissionMillis;
        thread.executeAfter(
                () -> {
                    if (connection.isQuiet()) {
                        exchange.start(connection, false);
                        return;
                    }
                    connection.close();
                    exchange.fail(ServerFailure.create(
                            ServerFailure.Kind.NOT_ADMITTED, "the server reset the new connection at once"));
                },
                waitMillis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Opens a connection. The failure is reported after the connect timeout at the latest; a connection that is opened
     * later is passed on all the same.
     */
    private void open(
            URI address,
            XnioIoThread thread,
            CallPurpose purpose,
            Consumer<ServerConnection> onOpen,
            Consumer<ServerFailure> onFailure) {
        XnioIoThread.Key timer = silenceTimers.schedule(
                thread,
                () -> onFailure.accept(ServerFailure.create(
                        ServerFailure.Kind.NOT_CONNECTED,
                        "no connection to " + address + " within " + CONNECT_TIMEOUT_MILLIS + " ms")),
                CONNECT_TIMEOUT_MILLIS);
        if (address.getPort() < 1 || address.getPort() > MAX_PORT) {
            timer.remove();
            onFailure.accept(
                    ServerFailure.create(ServerFailure.Kind.NOT_CONNECTED, "no port to connect to in " + address));
            return;
        }
        trafficListener.onOpening(purpose);
        openers.computeIfAbsent(thread, key -> new ConnectionOpener(key, buffers))
                .open(
                        address,
                        connection -> {
                            timer.remove();
                            onOpen.accept(connection);
                        },
                        e -> {
                            timer.remove();
                            onFailure.accept(ServerFailure.create(
                                    ServerFailure.Kind.NOT_CONNECTED,
                                    "cannot connect to " + address + ": " + e.getMessage(),
                                    e));
                        });
    }

    private Deque<IdleConnection> idleOf(XnioIoThread thread, String pool) {
        return poolsOf(thread).computeIfAbsent(pool, key -> new ArrayDeque<>());
    }

    /** Returns the pools of a thread, by name. */
    private Map<String, Deque<IdleConnection>> poolsOf(XnioIoThread thread) {
        synchronized (idle) {
            return idle.computeIfAbsent(thread, key -> new HashMap<>());
        }
    }

    /**
     * An idle connection.
     *
     * @param connection the connection
     * @param confirmedUntil the time up to which the server is expected to have kept the connection
     * @param usableUntil the time after which the server may close the connection
     */
    private record IdleConnection(ServerConnection connection, Deadline confirmedUntil, Deadline usableUntil) {
        boolean isUsable(ConnectionUse use, long nowNanos) {
            if (use == ConnectionUse.CONFIRMED) {
                return !confirmedUntil.hasPassed(nowNanos) && connection.isQuiet();
            }
            return !usableUntil.hasPassed(nowNanos) && connection.isOpen();
        }
    }
}
