package org.verbenatray.servers;

/** Failure of an exchange with a backend server or the platform. The kind states what is known about the call. */
public final class ServerFailure extends RuntimeException {
    private final Kind kind;

    private ServerFailure(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns a failure of the given kind. */
    public static ServerFailure create(Kind kind, String message, Throwable cause) {
        return new ServerFailure(kind, message, cause);
    }

    /** Returns a failure of the given kind without a cause. */
    public static ServerFailure create(Kind kind, String message) {
        return new ServerFailure(kind, message, null);
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }

    /** The kinds of failures. */
    public enum Kind {
        /** No connection was established, so nothing was sent. */
        NOT_CONNECTED,
        /** The server closed the new connection before anything was sent, as it takes no more of them. */
        NOT_ADMITTED,
        /** The server is leaving; it rejected the call without running it. */
        LEAVING,
        /** The server is full; it rejected the call without running it. */
        FULL,
        /** The server rejected the call for another reason without running it. */
        REFUSED,
        /** The connection broke after a part of the request may have been sent. */
        BROKEN,
        /** The server made no progress before the deadline. */
        TIMED_OUT,
        /** The response was malformed, too large or belonged to another call. */
        BAD_RESPONSE
    }
}
