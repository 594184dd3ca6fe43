package org.verbenatray.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** The answer to one caller: whole at once, or a stream that ends or visibly breaks; used on one thread. */
final class CallerReply {
    /** The largest number of bytes that wait for a caller who reads slowly. */
    private static final int MAX_BACKLOG_BYTES = 1024 * 1024;

    /** The exchange with the caller. */
    private final HttpServerExchange exchange;

    /** The bytes that were not written yet. */
    private final Deque<ByteBuffer> backlog = new ArrayDeque<>();

    /** What is done when the caller leaves before the answer is complete. */
    private Runnable onGone = () -> {};

    /** The channel of a stream, null before it begins. */
    private StreamSinkChannel channel;

    /** The bytes in the backlog. */
    private int backlogBytes;

    /** Whether the channel takes nothing at the moment. */
    private boolean blocked;

    /** Whether the answer has begun. */
    private boolean begun;

    /** Whether the stream ends after the backlog. */
    private boolean ending;

    /** Whether nothing more may be written. */
    private boolean over;

    /** Creates the answer of an exchange. */
    private CallerReply(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    /** Returns the answer of an exchange. */
    static CallerReply to(HttpServerExchange exchange) {
        return new CallerReply(exchange);
    }

    /** Returns whether anything of the answer was written. */
    boolean begun() {
        return begun;
    }

    /** Returns whether the answer is complete or the caller has left. */
    boolean over() {
        return over;
    }

    /** Tells when the caller closes its connection before the answer is complete. */
    void whenGone(Runnable action) {
        onGone = action;
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            connection.getChannel().getSourceChannel().setReadListener(readable -> watch(connection));
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /** Sends a whole answer. */
    void whole(int status, Map<String, String> headers, byte[] body) {
        if (!start(status, headers)) {
            return;
        }
        over = true;
        stopWatching();
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /** Begins a stream. */
    void begin(int status, Map<String, String> headers) {
        if (start(status, headers)) {
            channel = exchange.getResponseChannel();
        }
    }

    /** Sends the next bytes of a stream. */
    void write(byte[] bytes) {
        if (over || ending) {
            return;
        }
        backlog.addLast(ByteBuffer.wrap(bytes));
        backlogBytes += bytes.length;
        if (backlogBytes > MAX_BACKLOG_BYTES) {
            gone();
            return;
        }
        drain();
    }

    /** Ends a stream as complete. */
    void end() {
        if (!over) {
            ending = true;
            drain();
        }
    }

    /** Closes the caller's connection, so that the answer can't be taken for complete. */
    void breakOff() {
        if (!over) {
            over = true;
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Sets the status and the headers and returns true, unless the answer has begun or the caller has left. */
    private boolean start(int status, Map<String, String> headers) {
        if (over || begun) {
            return false;
        }
        begun = true;
        exchange.setStatusCode(status);
        HeaderMap target = exchange.getResponseHeaders();
        headers.forEach((name, value) -> target.put(new HttpString(name), value));
        return true;
    }

    /** Writes as much as the channel takes. */
    private void drain() {
        if (blocked || over || channel == null) {
            return;
        }
        try {
            while (!backlog.isEmpty()) {
                ByteBuffer next = backlog.peekFirst();
                int count = channel.write(next);
                backlogBytes -= Math.max(0, count);
                if (!next.hasRemaining()) {
                    backlog.removeFirst();
                } else if (count <= 0) {
                    wait(channel);
                    return;
                }
            }
            if (ending) {
                over = true;
                stopWatching();
                channel.shutdownWrites();
            }
            if (!channel.flush()) {
                wait(channel);
            }
        } catch (IOException e) {
            gone();
        }
    }

    /** Goes on when the channel takes more. */
    private void wait(StreamSinkChannel on) {
        blocked = true;
        on.getWriteSetter().set(ready -> {
            blocked = false;
            on.suspendWrites();
            if (over) {
                flush(on);
            } else {
                drain();
            }
        });
        on.resumeWrites();
    }

    /** Flushes the end of a complete stream. */
    private void flush(StreamSinkChannel on) {
        try {
            if (!on.flush()) {
                wait(on);
            }
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    /** Looks whether the caller has closed its connection or sends its next request early. */
    private void watch(HttpServerConnection connection) {
        if (over) {
            connection.getOriginalSourceConduit().suspendReads();
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        int count;
        try {
            count = connection.getOriginalSourceConduit().read(pooled.getBuffer());
        } catch (IOException e) {
            count = -1;
        }
        if (count > 0) {
            pooled.getBuffer().flip();
            connection.getOriginalSourceConduit().suspendReads();
            connection.ungetRequestBytes(pooled);
            return;
        }
        pooled.close();
        if (count < 0) {
            gone();
        }
    }

    /** Lets the server read the caller's next request again. */
    private void stopWatching() {
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            connection.getOriginalSourceConduit().suspendReads();
        }
    }

    /** Ends the answer of a caller who has left. */
    private void gone() {
        if (!over) {
            over = true;
            IoUtils.safeClose(exchange.getConnection());
            onGone.run();
        }
    }
}
