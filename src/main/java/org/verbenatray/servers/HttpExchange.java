package org.verbenatray.servers;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its reply on one connection; used on one thread. */
final class HttpExchange {
    /** The size of the read buffer in bytes. */
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    /** The transport that owns the connections. */
    private final HttpTransport transport;

    /** The request. */
    private final HttpCall call;

    /** The thread. */
    private final XnioIoThread thread;

    /** The receiver of the reply. */
    private final ReplyListener listener;

    /** The body that remains to be written. */
    private final ByteBuffer unsent;

    /** The connection, null before it is made. */
    private ClientConnection connection;

    /** Whether the connection carried an exchange before. */
    private boolean reused;

    /** Whether the whole request was handed to the network. */
    private boolean flushed;

    /** Whether a reply has begun. */
    private boolean replied;

    /** Whether the exchange is over. */
    private boolean over;

    /** Creates an exchange that is not started. */
    HttpExchange(HttpTransport transport, HttpCall call, XnioIoThread thread, ReplyListener listener) {
        this.transport = transport;
        this.call = call;
        this.thread = thread;
        this.listener = listener;
        this.unsent = ByteBuffer.wrap(call.body());
    }

    /** Sends the request on a connection. */
    void start(ClientConnection on, boolean usedBefore) {
        if (over) {
            transport.release(thread, call.pool(), on);
            return;
        }
        connection = on;
        reused = usedBefore;
        unsent.rewind();
        flushed = false;
        listener.onSending();
        if (over) {
            transport.release(thread, call.pool(), on);
            return;
        }
        on.sendRequest(request(), callback(this::sent));
    }

    /** Ends the exchange without a reply. */
    void cancel() {
        if (!over) {
            over = true;
            closeConnection();
        }
    }

    /** Ends the exchange with a failure. */
    void fail(ServerFailure failure) {
        if (over) {
            return;
        }
        over = true;
        closeConnection();
        listener.onFailure(failure);
    }

    /** Returns the request line and headers. */
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

    /** Writes the body and waits for the reply. */
    private void sent(ClientExchange exchange) {
        exchange.setResponseListener(callback(this::answered));
        StreamSinkChannel channel = exchange.getRequestChannel();
        if (channel == null) {
            flushed = true;
            return;
        }
        writeBody(channel);
    }

    /** Writes as much of the body as the connection takes. */
    private void writeBody(StreamSinkChannel channel) {
        try {
            while (unsent.hasRemaining()) {
                if (channel.write(unsent) == 0) {
                    channel.getWriteSetter().set(this::writeBody);
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (channel.flush()) {
                flushed = true;
                return;
            }
            channel.getWriteSetter()
                    .set(ChannelListeners.flushingChannelListener(done -> flushed = true, (failed, e) -> broken(e)));
            channel.resumeWrites();
        } catch (IOException e) {
            broken(e);
        }
    }

    /** Passes the head of the reply on and reads the body. */
    private void answered(ClientExchange exchange) {
        if (over) {
            return;
        }
        replied = true;
        ClientResponse response = exchange.getResponse();
        listener.onHead(new ReplyHead(response.getResponseCode(), response.getResponseHeaders()));
        boolean keepAlive =
                !"close".equalsIgnoreCase(response.getResponseHeaders().getFirst(Headers.CONNECTION));
        readBody(exchange.getResponseChannel(), ByteBuffer.allocate(READ_BUFFER_BYTES), keepAlive);
    }

    /** Reads until the body ends or nothing more is there. */
    private void readBody(StreamSourceChannel channel, ByteBuffer buffer, boolean keepAlive) {
        try {
            while (!over) {
                buffer.clear();
                int count = channel.read(buffer);
                if (count < 0) {
                    finish(keepAlive);
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(ready -> readBody(ready, buffer, keepAlive));
                    channel.resumeReads();
                    return;
                }
                buffer.flip();
                listener.onBody(buffer);
            }
        } catch (IOException e) {
            broken(e);
        } catch (RuntimeException e) {
            fail(ServerFailure.create(ServerFailure.Kind.WRONG_REPLY, "the reply cannot be used: " + e, e));
        }
    }

    /** Ends the exchange after a complete reply. */
    private void finish(boolean keepAlive) {
        if (over) {
            return;
        }
        over = true;
        if (keepAlive && flushed) {
            transport.release(thread, call.pool(), connection);
        } else {
            closeConnection();
        }
        listener.onEnd();
    }

    /** Ends the exchange after the connection broke, or starts anew where an idle connection had been closed. */
    private void broken(IOException e) {
        if (over) {
            return;
        }
        if (reused
                && !replied
                && call.use() == ConnectionUse.POOLED_RESENDING
                && call.method().equals("GET")) {
            closeConnection();
            connection = null;
            reused = false;
            transport.connectAnew(call, thread, this);
            return;
        }
        fail(ServerFailure.create(
                ServerFailure.Kind.BROKEN, "connection to " + call.address() + " broke: " + e.getMessage(), e));
    }

    /** Closes the connection where there is one. */
    private void closeConnection() {
        if (connection != null) {
            HttpTransport.close(connection);
        }
    }

    /** Returns a callback that treats a failure as a broken connection. */
    private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> completed) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange result) {
                completed.accept(result);
            }

            @Override
            public void failed(IOException e) {
                broken(e);
            }
        };
    }
}
