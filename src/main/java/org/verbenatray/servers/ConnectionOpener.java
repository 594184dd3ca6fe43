package org.verbenatray.servers;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections of an I/O thread whose incoming bytes are checked before the HTTP client parses them.
 *
 * <p>The client opens its connections through an {@link XnioIoThread} and offers no other access to their bytes. So
 * this object passes itself to the client in place of the I/O thread and delegates to it. It is never started as a
 * thread.
 */
final class ConnectionOpener extends XnioIoThread {
    /**
     * The send buffer of a connection, in bytes: what a server that has not read it may leave of a request that counts
     * as written. Without a bound it grows to megabytes.
     */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    private static final OptionMap CONNECT_OPTIONS =
            OptionMap.create(Options.TCP_NODELAY, true, Options.SEND_BUFFER, SEND_BUFFER_BYTES);

    private final XnioIoThread thread;

    private final ByteBufferPool buffers;

    /** The connection that is being handed to the client; null at other times. */
    private StreamConnection opened;

    /** The incoming bytes of that connection. */
    private ResponseSource openedSource;

    ConnectionOpener(XnioIoThread thread, ByteBufferPool buffers) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
        this.buffers = buffers;
    }

    /** Opens a connection; one of the callbacks is called on the I/O thread. */
    void open(URI address, Consumer<ServerConnection> onOpen, Consumer<IOException> onFailure) {
        ClientCallback<ClientConnection> callback = new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                onOpen.accept(ServerConnection.of(connection, opened, openedSource));
            }

            @Override
            public void failed(IOException e) {
                onFailure.accept(e);
            }
        };
        UndertowClient.getInstance().connect(callback, address, this, buffers, CONNECT_OPTIONS);
    }

    /** Opens a connection on the I/O thread. The listener of the client calls the callback before it returns. */
    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> listener, OptionMap options) {
        return thread.openStreamConnection(
                destination,
                connection -> {
                    opened = connection;
                    openedSource = new ResponseSource(new ConfirmedEnd(connection));
                    connection.getSourceChannel().setConduit(openedSource);
                    listener.handleEvent(connection);
                    opened = null;
                    openedSource = null;
                },
                options);
    }

    @Override
    public void execute(Runnable task) {
        thread.execute(task);
    }

    @Override
    public Key executeAfter(Runnable task, long time, TimeUnit unit) {
        return thread.executeAfter(task, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
        return thread.executeAtInterval(task, time, unit);
    }
}
