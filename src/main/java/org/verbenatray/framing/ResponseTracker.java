package org.verbenatray.framing;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Follows the bytes of the response to one request, checks them and decides when the response is complete. Interim
 * responses are checked and dropped. Used by one reader.
 */
public final class ResponseTracker {
    /** The method of the request. */
    private final String method;

    private final LineBuffer line = new LineBuffer();

    /** The bytes of the head so far. */
    private final ByteArrayOutputStream head = new ByteArrayOutputStream();

    /** Null before the first line of the head is complete. */
    private StatusLine statusLine;

    private FramingFields fields = new FramingFields();

    /** Null before the head is complete, like the body. */
    private ResponseFraming framing;

    private BodyTracker body;

    private boolean connectionEnded;

    private ResponseTracker(String method) {
        this.method = method;
    }

    /** Returns a tracker of the response to a request with the given method. */
    public static ResponseTracker ofRequest(String method) {
        return new ResponseTracker(method);
    }

    /**
     * Takes bytes up to the end of the head. Returns the bytes of the whole head once it is complete.
     *
     * @throws MalformedMessageException if the head breaks the grammar or does not tell where the response ends
     */
    public Optional<byte[]> takeHead(ByteBuffer received) throws MalformedMessageException {
        ByteBuffer taken = received.duplicate();
        while (received.hasRemaining() && framing == null) {
            if (line.take(received) && endsInterim()) {
                head.reset();
                taken.position(received.position());
            }
        }
        keep(taken.limit(received.position()));
        return framing == null ? Optional.empty() : Optional.of(head.toByteArray());
    }

    /**
     * Takes the bytes behind the head that belong to the response; bytes that remain belong to no response.
     *
     * @throws MalformedMessageException if the framing of the body breaks the grammar
     */
    public void takeBody(ByteBuffer received) throws MalformedMessageException {
        body.take(received);
    }

    /** Records that the server has ended its side of the connection. */
    public void endConnection() {
        connectionEnded = true;
    }

    /** Returns what the head states; empty before it is complete. */
    public Optional<ResponseFraming> framing() {
        return Optional.ofNullable(framing);
    }

    /**
     * Returns whether the response is complete. One that ends with its connection is complete only if the whole request
     * was written by then: a server that ends its connection earlier has not read the request.
     */
    public boolean isComplete(boolean requestWritten) {
        if (framing == null) {
            return false;
        }
        return framing.bodyEnd() == BodyEnd.CONNECTION ? connectionEnded && requestWritten : body.isComplete();
    }

    private void keep(ByteBuffer taken) {
        byte[] bytes = new byte[taken.remaining()];
        taken.get(bytes);
        head.writeBytes(bytes);
    }

    /** Handles a complete line of the head; returns whether it ends an interim response. */
    private boolean endsInterim() throws MalformedMessageException {
        if (statusLine == null) {
            statusLine = StatusLine.of(line);
            return false;
        }
        if (line.length() > 0) {
            fields.add(FieldLine.of(line));
            return false;
        }
        ResponseFraming stated = ResponseFraming.of(statusLine, fields, method);
        if (stated.isInterim()) {
            statusLine = null;
            fields = new FramingFields();
            return true;
        }
        framing = stated;
        body = BodyTracker.of(stated);
        return false;
    }
}
