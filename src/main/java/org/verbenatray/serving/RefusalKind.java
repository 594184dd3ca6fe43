package org.verbenatray.serving;

/** The kinds of refusals and failures that callers see, with their HTTP status. */
public enum RefusalKind {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The API key is missing or unknown. */
    UNAUTHENTICATED(401),
    /** The model, service or call is not configured. */
    NOT_FOUND(404),
    /** The body, a header or the prompt is larger than the bound. */
    TOO_LARGE(413),
    /** The idempotency key was used with another body, is too old, or cannot be kept. */
    KEY_MISUSED(422),
    /** The call of the key ran, but its answer was too large or no text and is not kept for repeats. */
    ANSWER_NOT_KEPT(409),
    /** The call of the key is running. */
    CALL_RUNNING(409),
    /** The customer's limit is reached. */
    RATE_LIMITED(429),
    /** The instance or the fleet has no capacity for the request. */
    OVERLOADED(503),
    /** The instance is leaving. */
    LEAVING(503),
    /** No configuration has been read yet. */
    NOT_READY(503),
    /** The platform's log service, which the call needs, is out of reach. */
    LOG_UNAVAILABLE(503),
    /** No backend server can take the request now. */
    NO_SERVER(503),
    /** The deadline cannot be met or has passed. */
    DEADLINE(504),
    /** A backend server failed while it ran the request. */
    SERVER_FAILED(502),
    /** The request has crashed backend servers and is not run again. */
    CRASHES_SERVERS(422);

    /** The HTTP status. */
    private final int status;

    /** Creates a kind. */
    RefusalKind(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
