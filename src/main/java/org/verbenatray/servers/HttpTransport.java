package org.verbenatray.servers;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
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

    /** The options of every connection. */
    private static final OptionMap CONNECT_OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** The worker whose threads run the exchanges. */
    private final XnioWorker worker;

    /** The pool of buffers. */
    private final ByteBufferPool buffers;

    /** The clock of deadlines. */
    private final Ticker ticker;

    /** Idle connections by thread and server, each only touched on its own thread. */
    private final Map<XnioIoThread, Map<URI, Deque<ClientConnection>>> idle = new HashMap<>();

    /** Creates a transport on the threads of a worker. */
    private HttpTransport(XnioWorker worker, ByteBufferPool buffers, Ticker ticker) {
        this.worker = worker;
        this.buffers = buffers;
        this.ticker = ticker;
    }

    /** Returns a transport on the threads of a worker. */
    public static HttpTransport create(XnioWorker worker, ByteBufferPool buffers, Ticker ticker) {
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
    void release(XnioIoThread thread, URI address, ClientConnection connection) {
        Deque<ClientConnection> connections = idleOf(thread, address);
        if (connection.isOpen() && connections.size() < MAX_IDLE) {
            connections.addLast(connection);
            return;
        }
        close(connection);
    }

    /** Closes a connection and ignores what it says. */
    static void close(ClientConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // The connection is of no further use either way.
        }
    }

    /** Starts the exchange on an idle connection or on a new one. */
    private void connect(HttpCall call, XnioIoThread thread, HttpExchange exchange) {
        if (!call.fresh()) {
            Deque<ClientConnection> connections = idleOf(thread, call.address());
            for (ClientConnection next = connections.pollLast(); next != null; next = connections.pollLast()) {
                if (next.isOpen()) {
                    exchange.start(next, true);
                    return;
                }
            }
        }
        connectAnew(call, thread, exchange);
    }

    /** Starts the exchange on a new connection. */
    void connectAnew(HttpCall call, XnioIoThread thread, HttpExchange exchange) {
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection connection) {
                                exchange.start(connection, false);
                            }

                            @Override
                            public void failed(IOException e) {
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

    /** Returns the idle connections of a thread to a server. */
    private Deque<ClientConnection> idleOf(XnioIoThread thread, URI address) {
        Map<URI, Deque<ClientConnection>> ofThread;
        synchronized (idle) {
            ofThread = idle.computeIfAbsent(thread, key -> new HashMap<>());
        }
        return ofThread.computeIfAbsent(address, key -> new ArrayDeque<>());
    }
}
