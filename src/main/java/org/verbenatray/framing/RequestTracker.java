package org.verbenatray.framing;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Follows the bytes of the requests of one connection, one after another, up to the first that is malformed: behind it
 * nothing tells where a request begins. Used by one reader.
 */
public final class RequestTracker {
    private final LineBuffer line = new LineBuffer();

    /** Null before the first line of the head is complete. */
    private RequestLine requestLine;

    private FramingFields fields = new FramingFields();

    /** The body of the request whose head is complete; null inside a head and between requests. */
    private BodyTracker body;

    /** The number of requests that were received whole. */
    private long wholeRequests;

    /** Why the request behind the whole ones is malformed; empty if it is not so far. */
    private Optional<String> malformation = Optional.empty();

    private RequestTracker() {}

    /** Returns a tracker for a new connection. */
    public static RequestTracker create() {
        return new RequestTracker();
    }

    /** Takes the bytes that were received next. */
    public void take(ByteBuffer received) {
        try {
            while (received.hasRemaining() && malformation.isEmpty()) {
                takePart(received);
            }
        } catch (MalformedMessageException e) {
            malformation = Optional.of(e.getMessage());
        }
    }

    /**
     * Returns why the request with the given number, counted from zero on the connection, cannot be used: it or one
     * before it is malformed. Empty if it is sound as far as it was received.
     */
    public Optional<String> malformation(long number) {
        return malformation.filter(reason -> number >= wholeRequests);
    }

    private void takePart(ByteBuffer received) throws MalformedMessageException {
        if (body == null) {
            if (line.take(received)) {
                endLine();
            }
            return;
        }
        body.take(received);
        endIfComplete();
    }

    private void endLine() throws MalformedMessageException {
        if (requestLine == null) {
            requestLine = RequestLine.of(line);
        } else if (line.length() > 0) {
            fields.add(FieldLine.of(line));
        } else {
            endHead();
        }
    }

    private void endHead() throws MalformedMessageException {
        if (fields.chunked() && requestLine.minorVersion() == 0) {
            throw MalformedMessageException.of("the request of HTTP/1.0 has a transfer coding");
        }
        body = fields.chunked()
                ? BodyTracker.ofChunks()
                : BodyTracker.ofLength(fields.length().orElse(0));
        endIfComplete();
    }

    /** Waits for the next request after a whole one. */
    private void endIfComplete() {
        if (body.isComplete()) {
            wholeRequests++;
            requestLine = null;
            fields = new FramingFields();
            body = null;
        }
    }
}
