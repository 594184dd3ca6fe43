package org.verbenatray.servers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.verbenatray.framing.BodyEnd;
import org.verbenatray.framing.MalformedMessageException;
import org.verbenatray.framing.ResponseFraming;
import org.verbenatray.framing.ResponseTracker;
import org.verbenatray.web.BufferedReads;

/**
 * The incoming bytes of one connection before the HTTP client parses them. Only the bytes of well-formed responses are
 * passed on: a read fails with an {@link IOException} at the first byte that breaks the grammar, and the connection
 * ends at a byte that belongs to no response.
 *
 * <p>The bytes that are no body, from the start of a response or from the last part of its body on, are bounded: a
 * read fails beyond. They are the head, interim responses, chunk sizes, chunk extensions and the trailer. The bytes of
 * one turn are bounded as well: a read then returns no bytes, so that its reader waits until the connection is reported
 * readable again and the other connections of the thread are served.
 *
 * <p>Used on the I/O thread of the connection only.
 */
final class ResponseSource extends BufferedReads {
    /**
     * The largest number of bytes without a byte of a body. More than a turn and a read buffer, since a single read of
     * a body of tiny chunks takes up to a turn of bytes.
     */
    static final int MAX_OVERHEAD_BYTES = 32 * 1024;

    /** The largest number of bytes read before other connections are served. */
    static final int MAX_TURN_BYTES = 16 * 1024;

    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

    /** Holds back the end of the connection. */
    private final ConfirmedEnd end;

    /** Whether the request has a body, which its server may leave unread. */
    private boolean requestHasBody;

    /** Follows the response that is expected, or the last one; null before the first request. */
    private ResponseTracker response;

    /** Whether a response is expected and not complete. */
    private boolean expecting;

    /** The checked bytes that were not passed on yet: a head, and what has arrived of its body with it. */
    private ByteBuffer checked = NO_BYTES;

    /** The bytes read since the start of the response or the last part of its body. */
    private int overheadBytes;

    /** The bytes read since the last read that returned none. */
    private int turnBytes;

    /** Whether bytes have arrived that belong to no response. */
    private boolean excess;

    /** Whether the bytes were malformed or exceeded their bound. */
    private boolean rejected;

    /** Whether the server has closed the connection. */
    private boolean closedByServer;

    /** Whether the rest of the incoming bytes is not wanted. */
    private boolean ended;

    ResponseSource(ConfirmedEnd next) {
        super(next);
        this.end = next;
    }

    /** Expects the response to a request with the given method and with or without a body. */
    void expectResponse(String method, boolean hasRequestBody) {
        requestHasBody = hasRequestBody;
        response = ResponseTracker.ofRequest(method);
        expecting = true;
        recordProgress();
    }

    /** Starts to count the bytes that are no body anew, as a part of a body was passed on. */
    void recordProgress() {
        overheadBytes = 0;
    }

    /** Returns whether the response is complete, given whether the whole request was written. */
    boolean isComplete(boolean requestWritten) {
        return response.isComplete(requestWritten);
    }

    /** Returns whether the end of the response is the end of the connection. */
    boolean endsWithConnection() {
        return response.framing()
                .filter(framing -> framing.bodyEnd() == BodyEnd.CONNECTION)
                .isPresent();
    }

    /** Returns whether a body follows the head that has arrived. */
    boolean hasBody() {
        return response.framing().filter(ResponseFraming::hasBody).isPresent();
    }

    /** Returns whether the connection can be used for another request after the response. */
    boolean isReusable() {
        return !excess && response.framing().filter(ResponseFraming::persistent).isPresent();
    }

    /** Returns whether bytes have arrived that belong to no response. */
    boolean hasExcess() {
        return excess;
    }

    /**
     * Returns whether the connection has ended because of the bytes of its server, which were malformed or too many or
     * could not be parsed, and not because the server closed it.
     */
    boolean endedByContent() {
        return rejected || overheadBytes > 0 && !closedByServer;
    }

    /** Ends the incoming bytes, so that a close of the connection does not wait for more. */
    void end() {
        ended = true;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (checked.hasRemaining()) {
            return passOn(target);
        }
        if (ended) {
            return -1;
        }
        if (!expecting) {
            return readUnexpected(target);
        }
        try {
            return response.framing().isPresent() ? readBody(target) : readHead(target);
        } catch (MalformedMessageException e) {
            throw reject(e);
        }
    }

    /** Reads until the head is complete or no more bytes are available; the target is used as a buffer meanwhile. */
    private int readHead(ByteBuffer target) throws IOException {
        while (true) {
            int start = target.position();
            int count = receive(target);
            if (count <= 0) {
                return count;
            }
            ByteBuffer received = takeBack(target, start);
            Optional<byte[]> head = response.takeHead(received);
            if (head.isPresent()) {
                ByteBuffer body = takeBody(received);
                checked = ByteBuffer.allocate(head.get().length + body.remaining());
                checked.put(head.get()).put(body).flip();
                return passOn(target);
            }
        }
    }

    private int readBody(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = receive(target);
        if (count <= 0) {
            return count;
        }
        ByteBuffer body = takeBody(takeBack(target, start));
        target.position(start + body.remaining());
        return body.remaining();
    }

    /** Reads without an expected response: any byte ends the connection. */
    private int readUnexpected(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = receive(target);
        if (count > 0) {
            target.position(start);
            endAtExcess();
            return -1;
        }
        return count;
    }

    /** Returns the bytes of a body among the received ones; the connection ends behind them if there are others. */
    private ByteBuffer takeBody(ByteBuffer received) throws MalformedMessageException {
        ByteBuffer body = received.duplicate();
        response.takeBody(received);
        body.limit(received.position());
        if (received.hasRemaining()) {
            endAtExcess();
        }
        if (response.isComplete(true)) {
            expecting = false;
        }
        return body;
    }

    /** Ends the connection because of its bytes, and returns the failure to throw. */
    private IOException reject(IOException failure) {
        rejected = true;
        ended = true;
        return failure;
    }

    private void endAtExcess() {
        excess = true;
        ended = true;
    }

    private int passOn(ByteBuffer target) {
        int count = Math.min(target.remaining(), checked.remaining());
        target.put(checked.slice().limit(count));
        checked.position(checked.position() + count);
        return count;
    }

    /** Moves the position of a buffer back and returns the bytes behind it. */
    private static ByteBuffer takeBack(ByteBuffer target, int start) {
        ByteBuffer received = target.duplicate().flip();
        target.position(start);
        return received.position(start);
    }

    /** Reads from the connection within the bounds. */
    private int receive(ByteBuffer target) throws IOException {
        if (turnBytes >= MAX_TURN_BYTES) {
            turnBytes = 0;
            return 0;
        }
        closedByServer = true;
        end.setNeeded(requestHasBody && expecting && endsWithConnection());
        int count = next.read(target);
        closedByServer = count < 0;
        if (closedByServer && response != null) {
            response.endConnection();
        }
        record(count);
        return count;
    }

    private void record(int count) throws IOException {
        if (count <= 0) {
            turnBytes = 0;
            return;
        }
        turnBytes += count;
        overheadBytes += count;
        if (overheadBytes > MAX_OVERHEAD_BYTES) {
            throw reject(new IOException("more than " + MAX_OVERHEAD_BYTES + " bytes without a part of a body"));
        }
    }
}
