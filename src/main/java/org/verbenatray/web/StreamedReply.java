package org.verbenatray.web;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** A reply that is written piece by piece; used on the exchange's own thread. */
public final class StreamedReply {
    /** The exchange. */
    private final HttpServerExchange exchange;

    /** The largest number of bytes that may wait for a slow caller. */
    private final int maxPendingBytes;

    /** Called once when the caller is gone or too slow. */
    private final Runnable onBroken;

    /** The pieces that wait. */
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();

    /** The bytes that wait. */
    private int pendingBytes;

    /** The channel, null before the first write. */
    private StreamSinkChannel channel;

    /** Whether no more pieces follow. */
    private boolean ending;

    /** Whether the connection is to be closed without the end of the body. */
    private boolean aborting;

    /** Whether the reply is over. */
    private boolean over;

    /** Creates a reply that has not begun. */
    private StreamedReply(HttpServerExchange exchange, int maxPendingBytes, Runnable onBroken) {
        this.exchange = exchange;
        this.maxPendingBytes = maxPendingBytes;
        this.onBroken = onBroken;
    }

    /** Returns a reply that has not begun. */
    public static StreamedReply create(HttpServerExchange exchange, int maxPendingBytes, Runnable onBroken) {
        return new StreamedReply(exchange, maxPendingBytes, onBroken);
    }

    /** Sends the head. */
    public void begin(String contentType) {
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(ready -> drain());
    }

    /** Writes a piece, or keeps it until the caller takes more. */
    public void write(byte[] piece) {
        if (over || ending) {
            return;
        }
        pending.addLast(ByteBuffer.wrap(piece));
        pendingBytes += piece.length;
        drain();
        if (!over && pendingBytes > maxPendingBytes) {
            broken();
        }
    }

    /** Ends the reply after all pieces. */
    public void end() {
        ending = true;
        drain();
    }

    /** Closes the connection after all pieces, so that the reply does not look whole. */
    public void abort() {
        ending = true;
        aborting = true;
        drain();
    }

    /** Writes what the caller takes. */
    private void drain() {
        if (over) {
            return;
        }
        try {
            while (!pending.isEmpty()) {
                ByteBuffer head = pending.peekFirst();
                int count = channel.write(head);
                pendingBytes -= count;
                if (head.hasRemaining()) {
                    channel.resumeWrites();
                    return;
                }
                pending.removeFirst();
            }
            if (!ending) {
                channel.suspendWrites();
                flushPieces();
                return;
            }
            finish();
        } catch (IOException e) {
            broken();
        }
    }

    /** Passes buffered bytes on to the connection. */
    private void flushPieces() throws IOException {
        if (!channel.flush()) {
            channel.resumeWrites();
        }
    }

    /** Ends the exchange. */
    private void finish() throws IOException {
        over = true;
        if (aborting) {
            channel.flush();
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.getWriteSetter()
                    .set(ChannelListeners.flushingChannelListener(
                            flushed -> exchange.endExchange(),
                            (failed, e) -> IoUtils.safeClose(exchange.getConnection())));
            channel.resumeWrites();
            return;
        }
        exchange.endExchange();
    }

    /** Ends the reply because the caller is gone or too slow. */
    private void broken() {
        over = true;
        pending.clear();
        IoUtils.safeClose(exchange.getConnection());
        onBroken.run();
    }
}
