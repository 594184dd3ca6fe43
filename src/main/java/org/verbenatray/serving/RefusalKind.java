package org.verbenatray.serving;

/** The kinds of refusals and failures sent to callers, with their HTTP status. */
public enum RefusalKind {
    /** The request is malformed. */
    BAD_REQUEST(400),
    /** The API key is missing or unknown. */
    UNAUTHENTICATED(401),
    /** The model, service or call is not configured. */
    NOT_FOUND(404),
    /** The body, a header or the prompt exceeds its size limit. */
    TOO_LARGE(413),
    /** The idempotency key was used with another body, is too old, or cannot be stored. */
    KEY_MISUSED(422),
    /**
     * The call with the idempotency key ran, but its response was too large or not text and was not stored for repeats.
     */
    ANSWER_NOT_KEPT(409),
    /** The call with the idempotency key is still running. */
    CALL_RUNNING(409),
    /** A limit of the customer is reached. */
    RATE_LIMITED(429),
    /** The instance or the fleet has no capacity for the request. */
    OVERLOADED(503),
    /** The instance is shutting down. */
    LEAVING(503),
    /** The instance has not received its configuration yet. */
    NOT_READY(503),
    /** The platform's log service, which the call requires, is unreachable. */
    LOG_UNAVAILABLE(503),
    /** No backend server is available for the request. */
    NO_SERVER(503),
    /** The deadline cannot be met or has passed. */
    DEADLINE(504),
    /** A backend server failed while it ran the request. */
    SERVER_FAILED(502),
    /** The request crashed backend servers and is blocked for now. */
    CRASHES_SERVERS(422);

    private final int status;

    RefusalKind(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
