package org.verbenatray.framing;

/**
 * What the head of a response states of the end of the response.
 *
 * @param status the status
 * @param bodyEnd what marks the end of the body
 * @param bodyBytes the length of a body whose end is a {@link BodyEnd#LENGTH}, in bytes; otherwise zero
 * @param persistent whether the connection can be used again after the response; not if a status that excludes a body
 *     stands beside fields that describe one, for which an HTTP client may wait
 */
public record ResponseFraming(int status, BodyEnd bodyEnd, long bodyBytes, boolean persistent) {
    private static final int SWITCHING_PROTOCOLS = 101;

    private static final int FIRST_FINAL_STATUS = 200;

    private static final int NO_CONTENT = 204;

    private static final int NOT_MODIFIED = 304;

    /**
     * Returns the framing of a response.
     *
     * @param method the method of the request
     * @throws MalformedMessageException if the end of the response cannot be told
     */
    static ResponseFraming of(StatusLine line, FramingFields fields, String method) throws MalformedMessageException {
        int status = line.status();
        if (status == SWITCHING_PROTOCOLS) {
            throw MalformedMessageException.of("the protocol is switched, which no request asks for");
        }
        if (fields.chunked() && line.minorVersion() == 0) {
            throw MalformedMessageException.of("the response of HTTP/1.0 has a transfer coding");
        }
        boolean persistent = fields.persistent(line.minorVersion());
        if (method.equals("HEAD")) {
            return new ResponseFraming(status, BodyEnd.LENGTH, 0, persistent);
        }
        if (status < FIRST_FINAL_STATUS || status == NO_CONTENT || status == NOT_MODIFIED) {
            return new ResponseFraming(status, BodyEnd.LENGTH, 0, persistent && !fields.describeBody());
        }
        if (fields.chunked()) {
            return new ResponseFraming(status, BodyEnd.LAST_CHUNK, 0, persistent);
        }
        if (fields.length().isPresent()) {
            return new ResponseFraming(status, BodyEnd.LENGTH, fields.length().getAsLong(), persistent);
        }
        return new ResponseFraming(status, BodyEnd.CONNECTION, 0, false);
    }

    /** Returns whether a body follows the head; an empty one is none. */
    public boolean hasBody() {
        return bodyEnd != BodyEnd.LENGTH || bodyBytes > 0;
    }

    /** Returns whether another response to the same request follows. */
    boolean isInterim() {
        return status < FIRST_FINAL_STATUS;
    }
}
