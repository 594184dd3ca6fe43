package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.memory.MemoryUse;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * The HTTP response to one caller, sent either at once or as a stream. A stream that fails closes the connection, so
 * that the caller cannot mistake it for a complete response. Used on one thread.
 */
final class CallerResponse {
    /**
     * Limit of the bytes that wait for a slow caller behind the event that is being written; its connection is closed
     * beyond it.
     */
    private static final int MAX_BACKLOG_BYTES = 1024 * 1024;

    /**
     * The most bytes that are written together with the head. The HTTP library refers to them as long as the connection
     * is open.
     */
    private static final int MAX_BYTES_WITH_HEAD = 4 * 1024;

    /** The largest part of a body in one write, which takes as much memory outside the heap. */
    private static final int MAX_PART_BYTES = 64 * 1024;

    private final HttpServerExchange exchange;

    /** Runs the listeners of the connection. */
    private final RequestGuard guard;

    /** Watches the connection while the response is due. */
    private final CallerWatch watch;

    private final Backlog backlog = new Backlog();

    /** The bytes of the response that the caller has not read, as a share of the account. */
    private final MemoryAccount.Share unread;

    /** The size of a complete response that is sent in parts: its bytes are kept until all are written. */
    private int wholeBytes;

    /** Whether the caller has closed its connection, or only the sending half of it. */
    private boolean inputEnded;

    /** Notified when the connection ends before the response is complete, unless by {@link #abort}. */
    private Consumer<DisconnectCause> disconnectListener = cause -> {};

    /** The channel of a stream; null before the stream starts. */
    private StreamSinkChannel channel;

    /** Whether the head was written, or may be written with the first bytes. */
    private boolean headWritten;

    /** Whether the channel accepts no bytes at the moment and a write listener is set. */
    private boolean awaitingWritable;

    private boolean started;

    /** Whether the stream ends once the backlog is written. */
    private boolean ending;

    /** Whether the response is complete, aborted or given up; nothing more may be written. */
    private boolean closed;

    private CallerResponse(HttpServerExchange exchange, MemoryAccount memory, RequestGuard guard) {
        this.exchange = exchange;
        this.guard = guard;
        this.watch = CallerWatch.of(exchange, memory, guard, this::onWatchEnded);
        this.unread = memory.open(
                MemoryUse.UNREAD,
                () -> exchange.getIoThread().execute(guard.wrap(() -> disconnect(DisconnectCause.BACKLOG_FULL))));
    }

    /** Returns the response of the given exchange, whose bytes belong to an account until the caller has read them. */
    static CallerResponse to(HttpServerExchange exchange, MemoryAccount memory, RequestGuard guard) {
        CallerResponse response = new CallerResponse(exchange, memory, guard);
        ExchangeEnd.onEnd(exchange, response.unread::close);
        return response;
    }

    /** Returns whether the status and headers of the response are set. */
    boolean started() {
        return started;
    }

    /** Returns whether the response is complete or aborted, or the caller has disconnected. */
    boolean closed() {
        return closed;
    }

    /**
     * Returns whether the caller has closed its connection, or only the sending half of it: which of them shows only
     * when bytes are sent to it.
     */
    boolean inputEnded() {
        return inputEnded;
    }

    /**
     * Sets the listener that is notified when the connection ends before the response is complete, and starts to watch
     * the connection. After {@link DisconnectCause#CALLER_CLOSED} the response can still be sent or aborted; after the
     * other causes it is closed.
     */
    void onDisconnect(Consumer<DisconnectCause> listener) {
        disconnectListener = listener;
        watch.start();
    }

    /**
     * Looks now whether the caller has closed its connection, and notifies the listener if it has: its close may have
     * arrived while the event loop did other work.
     */
    void checkCaller() {
        watch.check();
    }

    /** Sends a complete response; does nothing if a response was started or the caller has disconnected. */
    void send(int status, Map<String, String> headers, byte[] body) {
        if (!writeHead(status, headers)) {
            return;
        }
        if (body.length > MAX_BYTES_WITH_HEAD) {
            sendInParts(body);
            return;
        }
        closed = true;
        watch.stop();
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /** Sends a complete response with its length in parts, as the caller reads them. */
    private void sendInParts(byte[] body) {
        exchange.setResponseContentLength(body.length);
        channel = exchange.getResponseChannel();
        for (int begin = 0; begin < body.length; begin += MAX_PART_BYTES) {
            int length = Math.min(MAX_PART_BYTES, body.length - begin);
            backlog.add(ByteBuffer.wrap(body, begin, length).slice());
        }
        wholeBytes = body.length;
        ending = true;
        drain();
    }

    /**
     * Starts a stream; does nothing if a response was started or the caller has disconnected. The stream is chunked
     * also if its connection is closed after it: where the end of the connection marks the end of the response, a
     * stream that is cut looks complete.
     */
    void startStream(int status, Map<String, String> headers) {
        if (writeHead(status, headers)) {
            if (exchange.getProtocol().equals(Protocols.HTTP_1_1)) {
                exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
            }
            channel = exchange.getResponseChannel();
        }
    }

    /** Adds the next bytes of a stream to the buffered bytes, which {@link #writeBuffered()} writes. */
    void write(byte[] bytes) {
        if (closed || ending) {
            return;
        }
        backlog.add(bytes);
        if (backlog.bytesBehindFirst() > MAX_BACKLOG_BYTES) {
            disconnect(DisconnectCause.BACKLOG_FULL);
        }
    }

    /** Writes the buffered bytes of a stream as far as the caller reads them; the others follow when it does. */
    void writeBuffered() {
        drain();
    }

    /** Ends the stream as complete after the buffered bytes. */
    void endStream() {
        if (!closed) {
            ending = true;
            drain();
        }
    }

    /** Closes the caller's connection, so that the response cannot be mistaken for a complete one. */
    void abort() {
        closed = true;
        watch.stop();
        IoUtils.safeClose(exchange.getConnection());
    }

    /** Sets the status and headers; returns false if a response was started or the caller has disconnected. */
    private boolean writeHead(int status, Map<String, String> headers) {
        if (closed || started) {
            return false;
        }
        exchange.setStatusCode(status);
        HeaderMap target = exchange.getResponseHeaders();
        target.clear();
        headers.forEach((name, value) -> target.put(new HttpString(name), value));
        started = true;
        return true;
    }

    /** Writes the backlog as far as the channel accepts it, then ends the stream if requested. */
    private void drain() {
        if (awaitingWritable || closed || channel == null) {
            return;
        }
        try {
            if (!headWritten) {
                headWritten = backlog.firstBytes() <= MAX_BYTES_WITH_HEAD || channel.flush();
            }
            boolean written = headWritten && backlog.writeTo(channel);
            unread.set(written ? 0 : Math.max(wholeBytes, backlog.capacityBytes()));
            if (!written) {
                awaitWritable(channel);
                return;
            }
            if (ending) {
                closed = true;
                watch.stop();
                channel.shutdownWrites();
            }
            if (!channel.flush()) {
                awaitWritable(channel);
            }
        } catch (IOException e) {
            disconnect(DisconnectCause.CONNECTION_BROKEN);
        }
    }

    /** Continues writing when the channel accepts bytes again. */
    private void awaitWritable(StreamSinkChannel sink) {
        awaitingWritable = true;
        sink.getWriteSetter().set(ready -> guard.run(() -> continueWriting(sink)));
        sink.resumeWrites();
    }

    private void continueWriting(StreamSinkChannel sink) {
        awaitingWritable = false;
        sink.suspendWrites();
        if (closed) {
            flush(sink);
        } else {
            drain();
        }
    }

    /** Flushes a complete stream. */
    private void flush(StreamSinkChannel sink) {
        try {
            if (!sink.flush()) {
                awaitWritable(sink);
            }
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void onWatchEnded(DisconnectCause cause) {
        if (cause == DisconnectCause.CALLER_CLOSED) {
            endInput();
        } else {
            disconnect(cause);
        }
    }

    /** Notifies the listener that the caller sends nothing more. */
    private void endInput() {
        inputEnded = true;
        exchange.setPersistent(false);
        disconnectListener.accept(DisconnectCause.CALLER_CLOSED);
    }

    /** Closes the connection and notifies the listener. */
    private void disconnect(DisconnectCause cause) {
        if (!closed) {
            closed = true;
            watch.stop();
            IoUtils.safeClose(exchange.getConnection());
            disconnectListener.accept(cause);
        }
    }

    /** Why a connection ended before the response was complete. */
    enum DisconnectCause {
        /** The caller closed its connection, or only the sending half of it. */
        CALLER_CLOSED,
        /** The connection broke. */
        CONNECTION_BROKEN,
        /** The caller sent more behind its request than is read while the request is open. */
        PIPELINED_TOO_MUCH,
        /** The caller read its response so slowly that the limit of buffered bytes was reached. */
        BACKLOG_FULL
    }
}
