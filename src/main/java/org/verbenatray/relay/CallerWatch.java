package org.verbenatray.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.relay.CallerResponse.DisconnectCause;

/**
 * Watches the connection of a caller while its request is open, to notice its close. The close lies behind all bytes
 * that the caller has sent, so pipelined requests are read ahead and kept for the HTTP server. What is more than the
 * largest request that is accepted, or finds no memory, is discarded, and the connection is closed after the response.
 * Used on one thread.
 */
final class CallerWatch {
    /** The bytes that are discarded; a caller that sends more than that is disconnected. */
    private static final long MAX_DISCARDED_BYTES = 16L * 1024 * 1024;

    private final HttpServerExchange exchange;

    /** Runs the listener of the connection. */
    private final RequestGuard guard;

    /** Notified once, when the caller is found to have left or is to be disconnected. */
    private final Consumer<DisconnectCause> onEnd;

    private final PipelinedBytes pipelined;

    private long discardedBytes;

    private boolean watching;

    private CallerWatch(
            HttpServerExchange exchange, MemoryAccount memory, RequestGuard guard, Consumer<DisconnectCause> onEnd) {
        this.exchange = exchange;
        this.guard = guard;
        this.onEnd = onEnd;
        this.pipelined = PipelinedBytes.upTo(exchange.getMaxEntitySize() + RelayServer.MAX_HEADER_BYTES, memory);
        ExchangeEnd.onEnd(exchange, pipelined::close);
    }

    /** Returns a watch that is not started. */
    static CallerWatch of(
            HttpServerExchange exchange, MemoryAccount memory, RequestGuard guard, Consumer<DisconnectCause> onEnd) {
        return new CallerWatch(exchange, memory, guard, onEnd);
    }

    /** Starts to watch the connection. */
    void start() {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            watching = true;
            connection
                    .getChannel()
                    .getSourceChannel()
                    .setReadListener(readable -> guard.run(() -> onReadable(connection)));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /** Ends the watch, so that the HTTP server reads the caller's next request. */
    void stop() {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            watching = false;
            connection.getOriginalSourceConduit().suspendReads();
        }
    }

    /** Looks now whether the caller has closed its connection, if the watch has started and not ended. */
    void check() {
        if (watching && exchange.getConnection() instanceof HttpServerConnection connection) {
            readAhead(connection);
        }
    }

    private void onReadable(HttpServerConnection connection) {
        if (watching) {
            readAhead(connection);
        } else {
            connection.getOriginalSourceConduit().suspendReads();
        }
    }

    /** Reads what has arrived, up to the close if that is among it. */
    private void readAhead(HttpServerConnection connection) {
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = connection.getOriginalSourceConduit().read(buffer);
            while (count > 0 && watching) {
                take(connection, buffer.flip());
                count = connection.getOriginalSourceConduit().read(buffer.clear());
            }
            if (count < 0) {
                end(DisconnectCause.CALLER_CLOSED);
            }
        } catch (IOException e) {
            end(DisconnectCause.CONNECTION_BROKEN);
        }
    }

    /** Keeps bytes for the HTTP server, behind those that it has read with this request, or discards them. */
    private void take(HttpServerConnection connection, ByteBuffer received) {
        if (discardedBytes == 0 && pipelined.add(connection, received)) {
            return;
        }
        exchange.setPersistent(false);
        discardedBytes += received.remaining();
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            end(DisconnectCause.PIPELINED_TOO_MUCH);
        }
    }

    private void end(DisconnectCause cause) {
        if (watching) {
            stop();
            onEnd.accept(cause);
        }
    }
}
