package org.verbenatray.relay;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.verbenatray.framing.RequestTracker;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Ticker;
import org.verbenatray.web.BufferedReads;
import org.xnio.Buffers;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * A connection of a caller, which is closed if the caller takes longer than the limits allow, and whose requests are
 * checked before they are relayed. Used on one thread.
 */
final class CallerConnection {
    private static final int REQUEST_TIMEOUT = 408;

    private static final String REASON = "the request was not sent whole in time\n";

    /** The response to a head that was not sent whole in time. */
    private static final byte[] HEAD_RESPONSE = ("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: "
                    + REASON.length() + "\r\n\r\n" + REASON)
            .getBytes(StandardCharsets.US_ASCII);

    /** The bytes that are discarded of a caller that writes on after its last response. */
    private static final long MAX_DISCARDED_BYTES = 16L * 1024 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 16 * 1024;

    private static final Logger log = System.getLogger(CallerConnection.class.getName());

    private final StreamConnection connection;

    /** Writes to the socket itself. */
    private final StreamSinkConduit socket;

    private final CallerPace pace;

    private final Ticker ticker;

    private final WatchedSource source;

    private final RequestTracker requests = RequestTracker.create();

    /** The open request, null between requests. */
    private HttpServerExchange open;

    /** The number of requests whose head was read. */
    private long begunRequests;

    private CallerConnection(StreamConnection connection, CallerPatience patience, Ticker ticker) {
        this.connection = connection;
        this.socket = connection.getSinkChannel().getConduit();
        this.pace = CallerPace.connectedAt(patience, ticker.nanos());
        this.ticker = ticker;
        this.source = new WatchedSource(connection.getSourceChannel().getConduit());
    }

    /** Starts to watch a connection, before any byte of it is read. */
    static CallerConnection watch(StreamConnection connection, CallerPatience patience, Ticker ticker) {
        CallerConnection watched = new CallerConnection(connection, patience, ticker);
        connection.getSourceChannel().setConduit(watched.source);
        connection.getSinkChannel().setConduit(watched.new WatchedSink(watched.socket));
        return watched;
    }

    /** Returns whether the connection is open. */
    boolean isOpen() {
        return connection.isOpen();
    }

    /** Records that the head of a request was read. Returns why the request is malformed; empty if it is not so far. */
    Optional<String> requestBegun(HttpServerExchange exchange) {
        open = exchange;
        begunRequests++;
        pace.headRead(ticker.nanos(), exchange::isRequestComplete);
        exchange.addExchangeCompleteListener((ended, next) -> {
            open = null;
            pace.responseEnded(ticker.nanos());
            source.discarding = !ended.isPersistent();
            next.proceed();
        });
        return requests.malformation(begunRequests - 1);
    }

    /** Closes the connection if the caller takes too long; a request that was begun is refused if possible. */
    void closeIfOverdue() {
        if (!pace.isOverdue(ticker.nanos())) {
            return;
        }
        if (pace.blocksResponse()) {
            log("response");
            IoUtils.safeClose(connection);
        } else if (pace.insideHead()) {
            log("head");
            refuseHead();
        } else if (!pace.insideRequest()) {
            IoUtils.safeClose(connection);
        } else {
            log("body");
            refuseBody();
        }
    }

    private void refuseHead() {
        try {
            socket.write(ByteBuffer.wrap(HEAD_RESPONSE));
        } catch (IOException e) {
            // The connection is closed either way.
        }
        IoUtils.safeClose(connection);
    }

    private void refuseBody() {
        if (open.isResponseStarted()) {
            IoUtils.safeClose(connection);
            return;
        }
        open.setStatusCode(REQUEST_TIMEOUT);
        open.setPersistent(false);
        open.getResponseSender().send(REASON, new CloseWhenSent());
    }

    private void log(String part) {
        Event.named("caller_too_slow")
                .with("caller", connection.getPeerAddress())
                .with("part", part)
                .log(log, Level.INFO);
    }

    /** Closes the connection once a response was sent, without waiting for the rest of the request. */
    private final class CloseWhenSent implements IoCallback {
        @Override
        public void onComplete(HttpServerExchange exchange, Sender sender) {
            IoUtils.safeClose(connection);
        }

        @Override
        public void onException(HttpServerExchange exchange, Sender sender, IOException e) {
            IoUtils.safeClose(connection);
        }
    }

    /** Passes writes on and records whether the caller takes them. */
    private final class WatchedSink extends AbstractStreamSinkConduit<StreamSinkConduit> {
        WatchedSink(StreamSinkConduit next) {
            super(next);
        }

        @Override
        public int write(ByteBuffer source) throws IOException {
            int count = super.write(source);
            record(count, source.hasRemaining());
            return count;
        }

        @Override
        public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
            long count = super.write(sources, offset, length);
            record(count, Buffers.hasRemaining(sources, offset, length));
            return count;
        }

        @Override
        public int writeFinal(ByteBuffer source) throws IOException {
            int count = super.writeFinal(source);
            record(count, source.hasRemaining());
            return count;
        }

        @Override
        public long writeFinal(ByteBuffer[] sources, int offset, int length) throws IOException {
            long count = super.writeFinal(sources, offset, length);
            record(count, Buffers.hasRemaining(sources, offset, length));
            return count;
        }

        private void record(long count, boolean othersWait) {
            pace.bytesWritten(count > 0, othersWait, ticker.nanos());
        }
    }

    /**
     * Passes reads on and records those that return bytes. Once a request is not read any further, or the last response
     * of the connection is written, it discards what still arrives: the HTTP server waits some seconds for the caller
     * to close, but closes at the first byte, and a close with unread bytes resets the connection, so that the caller
     * loses the response.
     */
    private final class WatchedSource extends BufferedReads {
        private boolean inputEnded;

        private boolean discarding;

        private long discardedBytes;

        WatchedSource(StreamSourceConduit next) {
            super(next);
        }

        @Override
        public int read(ByteBuffer target) throws IOException {
            if (discarding) {
                return discard();
            }
            int count = next.read(target);
            inputEnded = count < 0;
            if (count > 0) {
                pace.bytesRead(ticker.nanos());
                check(target.duplicate().flip().position(target.position() - count));
            }
            return count;
        }

        /** Follows received bytes; fails if the body that is being read turns out to be malformed. */
        private void check(ByteBuffer received) throws IOException {
            requests.take(received);
            if (open != null && !open.isRequestComplete()) {
                Optional<String> malformation = requests.malformation(begunRequests - 1);
                if (malformation.isPresent()) {
                    throw new IOException(malformation.get());
                }
            }
        }

        /** Called when a request is not read to its end; the connection itself is closed by the HTTP server later. */
        @Override
        public void terminateReads() throws IOException {
            if (inputEnded) {
                super.terminateReads();
            }
            discarding = true;
        }

        /** Reads what has arrived; returns zero, or -1 at the end of the input and when there is too much of it. */
        private int discard() throws IOException {
            ByteBuffer buffer = ByteBuffer.allocate(DISCARD_BUFFER_BYTES);
            int count = next.read(buffer);
            inputEnded = count < 0;
            discardedBytes += Math.max(0, count);
            return inputEnded || discardedBytes > MAX_DISCARDED_BYTES ? -1 : 0;
        }
    }
}
