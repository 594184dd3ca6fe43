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

/**
 * A response that is written in chunks and buffered, up to a limit, for a slow caller. Used only on the exchange's
 * I/O thread.
 */
public final class StreamedResponse {
    private final HttpServerExchange exchange;

    /** The maximum number of buffered bytes; a caller that falls further behind is disconnected. */
    private final int maxPendingBytes;

    /** Called once if the caller disconnects or is too slow. */
    private final Runnable onBroken;

    private final Deque<ByteBuffer> pending = new ArrayDeque<>();

    private int pendingBytes;

    /** The channel, null before the head is sent. */
    private StreamSinkChannel channel;

    /** Whether no more chunks are accepted. */
    private boolean ending;

    /** Whether the connection is closed without the end of the body. */
    private boolean aborting;

    /** Whether the response was completed, aborted or broken off. */
    private boolean finished;

    private StreamedResponse(HttpServerExchange exchange, int maxPendingBytes, Runnable onBroken) {
        this.exchange = exchange;
        this.maxPendingBytes = maxPendingBytes;
        this.onBroken = onBroken;
    }

    /** Returns a response whose head has not been sent. */
    public static StreamedResponse create(HttpServerExchange exchange, int maxPendingBytes, Runnable onBroken) {
        return new StreamedResponse(exchange, maxPendingBytes, onBroken);
    }

    /** Sends the status 200 and the headers; must be called before the first write. */
    public void start(String contentType) {
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        channel = exchange.getResponseChannel();
        channel.getWriteSetter().set(ready -> writePending());
    }

    /** Writes a chunk, or buffers it until the connection accepts more; ignored after the end of the response. */
    public void write(byte[] chunk) {
        if (finished || ending) {
            return;
        }
        pending.addLast(ByteBuffer.wrap(chunk));
        pendingBytes += chunk.length;
        writePending();
        if (!finished && pendingBytes > maxPendingBytes) {
            breakOff();
        }
    }

    /** Ends the response after all buffered chunks. */
    public void end() {
        ending = true;
        writePending();
    }

    /** Closes the connection after all buffered chunks, so that the response is not taken for complete. */
    public void abort() {
        ending = true;
        aborting = true;
        writePending();
    }

    /** Writes buffered chunks until the connection accepts no more. */
    private void writePending() {
        if (finished) {
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
                flushChannel();
                return;
            }
            finish();
        } catch (IOException e) {
            breakOff();
        }
    }

    /** Flushes the channel, and continues when it is writable if it could not be flushed. */
    private void flushChannel() throws IOException {
        if (!channel.flush()) {
            channel.resumeWrites();
        }
    }

    /** Ends the exchange, or closes its connection if the response is aborted. */
    private void finish() throws IOException {
        finished = true;
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

    /** Closes the connection because the caller disconnected or is too slow. */
    private void breakOff() {
        finished = true;
        pending.clear();
        IoUtils.safeClose(exchange.getConnection());
        onBroken.run();
    }
}
