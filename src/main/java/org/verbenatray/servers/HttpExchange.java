package org.verbenatray.servers;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.verbenatray.telemetry.Event;
import org.xnio.ChannelListeners;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its response on one connection. Used on one I/O thread only. */
final class HttpExchange {
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** The largest part of a body in one write, for which the JDK takes as much memory outside the heap. */
    private static final int MAX_WRITE_BYTES = 64 * 1024;

    private static final Logger log = System.getLogger(HttpExchange.class.getName());

    private final HttpTransport transport;

    private final HttpCall call;

    private final XnioIoThread thread;

    private final ResponseListener listener;

    /** The part of the body that has not been written. */
    private final ByteBuffer unsentBody;

    /** Null until the exchange is started. */
    private ServerConnection connection;

    /** Whether the connection has carried another exchange before. */
    private boolean reused;

    /** When the request was sent. */
    private long sentNanos;

    /** Whether the whole request was written to the socket. */
    private boolean requestFlushed;

    /** Whether the response head has arrived. */
    private boolean responseStarted;

    /** Whether the exchange has ended; the listener is not called any more. */
    private boolean finished;

    HttpExchange(HttpTransport transport, HttpCall call, XnioIoThread thread, ResponseListener listener) {
        this.transport = transport;
        this.call = call;
        this.thread = thread;
        this.listener = listener;
        this.unsentBody = ByteBuffer.wrap(call.body());
    }

    /** Sends the request on a connection, or returns the connection to the pool if the exchange was cancelled. */
    void start(ServerConnection openConnection, boolean usedBefore) {
        if (finished) {
            transport.release(thread, call.pool(), openConnection);
            return;
        }
        listener.onSending();
        if (finished) {
            transport.release(thread, call.pool(), openConnection);
            return;
        }
        connection = openConnection;
        reused = usedBefore;
        sentNanos = transport.ticker().nanos();
        unsentBody.clear();
        requestFlushed = false;
        call.requestId().ifPresent(openConnection::recordCarried);
        openConnection.source().expectResponse(call.method(), call.body().length > 0);
        openConnection.client().sendRequest(request(), callback(this::onRequestStarted));
    }

    /** Cancels the exchange without a call of the listener; its server gets no more of the request. */
    void cancel() {
        if (finished) {
            return;
        }
        finished = true;
        if (connection != null) {
            connection.abort();
        }
    }

    /** Ends the exchange with a failure, unless it has ended. */
    void fail(ServerFailure failure) {
        if (finished) {
            return;
        }
        finished = true;
        closeConnection();
        listener.onFailure(failure);
    }

    private ClientRequest request() {
        ClientRequest request = new ClientRequest()
                .setMethod(new HttpString(call.method()))
                .setPath(call.path())
                .setProtocol(Protocols.HTTP_1_1);
        request.getRequestHeaders().put(Headers.HOST, call.address().getAuthority());
        call.headers().forEach((name, value) -> request.getRequestHeaders().put(new HttpString(name), value));
        if (call.body().length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, call.body().length);
        } else if (!call.method().equals("GET")) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, 0);
        }
        return request;
    }

    /** Writes the body after the head of the request was sent. */
    private void onRequestStarted(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::onResponse));
        StreamSinkChannel channel = exchange.getRequestChannel();
        if (channel == null) {
            requestFlushed = true;
            return;
        }
        writeBody(channel);
    }

    /** Writes as much of the body as the socket accepts and continues when it is writable again. */
    private void writeBody(StreamSinkChannel channel) {
        try {
            while (unsentBody.position() < unsentBody.capacity()) {
                unsentBody.limit(Math.min(unsentBody.capacity(), unsentBody.position() + MAX_WRITE_BYTES));
                if (channel.write(unsentBody) == 0) {
                    channel.getWriteSetter().set(this::writeBody);
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                requestFlushed = true;
                return;
            }
            channel.getWriteSetter()
                    .set(ChannelListeners.flushingChannelListener(
                            done -> requestFlushed = true, (failed, e) -> onConnectionBroken(e)));
            channel.resumeWrites();
        } catch (IOException e) {
            onConnectionBroken(e);
        }
    }

    /**
     * Passes the response head to the listener and starts to read the body. Where there is none, the client may still
     * wait for one.
     */
    private void onResponse(ClientExchange exchange) {
        if (finished) {
            return;
        }
        responseStarted = true;
        transport
                .trafficListener()
                .onHead(call.purpose(), !reused, (transport.ticker().nanos() - sentNanos) / 1e9);
        ClientResponse response = exchange.getResponse();
        listener.onHead(new ResponseHead(
                response.getResponseCode(),
                response.getResponseHeaders(),
                connection.source().endsWithConnection()));
        if (!connection.source().hasBody() && !connection.source().isReusable()) {
            finish();
            return;
        }
        readBody(exchange.getResponseChannel(), ByteBuffer.allocate(READ_BUFFER_BYTES));
    }

    /** Reads until the body ends, or until no more bytes are available and continues when there are. */
    private void readBody(StreamSourceChannel channel, ByteBuffer buffer) {
        try {
            while (!finished) {
                if (!listener.readsOn(() -> resumeBody(channel, buffer))) {
                    channel.suspendReads();
                    return;
                }
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    finish();
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(ready -> readBody(ready, buffer));
                    channel.resumeReads();
                    return;
                }
                connection.source().recordProgress();
                buffer.flip();
                listener.onBody(buffer);
            }
        } catch (IOException e) {
            onConnectionBroken(e);
        } catch (RuntimeException e) {
            fail(ServerFailure.create(ServerFailure.Kind.BAD_RESPONSE, "the response cannot be used: " + e, e));
        }
    }

    private void resumeBody(StreamSourceChannel channel, ByteBuffer buffer) {
        thread.execute(() -> readBody(channel, buffer));
    }

    /**
     * Ends the exchange at the end of the body. After a complete response the connection returns to the pool if it can
     * be reused.
     */
    private void finish() {
        if (finished) {
            return;
        }
        if (!connection.source().isComplete(requestFlushed)) {
            reject(ServerFailure.create(
                    ServerFailure.Kind.BROKEN,
                    "the connection ended before the response, or before the request was read"));
            return;
        }
        finished = true;
        if (requestFlushed && connection.source().isReusable()) {
            transport.release(thread, call.pool(), connection);
        } else {
            closeConnection();
        }
        listener.onEnd();
    }

    /**
     * Fails the exchange, or sends it again on a new connection if the call permits a retry and the connection
     * had been idle in the pool.
     */
    private void onConnectionBroken(IOException e) {
        if (finished) {
            return;
        }
        if (connection.source().endedByContent()) {
            reject(ServerFailure.create(ServerFailure.Kind.BAD_RESPONSE, "unusable response: " + e.getMessage(), e));
            return;
        }
        if (reused
                && !responseStarted
                && call.connectionUse() == ConnectionUse.POOLED_WITH_RETRY
                && call.method().equals("GET")) {
            closeConnection();
            connection = null;
            reused = false;
            transport.startOnNewConnection(call, thread, this);
            return;
        }
        fail(ServerFailure.create(ServerFailure.Kind.BROKEN, "connection to " + call.address() + " broke: " + e, e));
    }

    /** Ends the exchange with a failure that the response shows, and logs it. */
    private void reject(ServerFailure failure) {
        Event.named("response_rejected")
                .with("server", call.address().getAuthority())
                .with("method", call.method())
                .with("path", call.path())
                .with("id", call.requestId().orElse(""))
                .with("why", failure.getMessage())
                .log(log, Level.WARNING);
        fail(failure);
    }

    private void closeConnection() {
        if (connection != null) {
            connection.close();
        }
    }

    /** Returns a callback that handles a failure as a broken connection. */
    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> completed) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                completed.accept(result);
            }

            @Override
            public void failed(IOException e) {
                onConnectionBroken(e);
            }
        };
    }
}
