package org.verbenatray.servers;

/** A failure between this instance and a backend server. */
public final class ServerFailure extends RuntimeException {
    /** What is known about the call. */
    private final Kind kind;

    /** Creates a failure. */
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

    /** Returns what is known about the call. */
    public Kind kind() {
        return kind;
    }

    /** The kinds of failures. */
    public enum Kind {
        /** No connection was made, nothing was sent. */
        NOT_CONNECTED,
        /** The server refused the call and did not run it, because it is leaving. */
        LEAVING,
        /** The server refused the call and did not run it, because it is full. */
        FULL,
        /** The server refused the call and did not run it, for another reason. */
        REFUSED,
        /** The connection broke after something was sent. */
        BROKEN,
        /** The server made no progress before the deadline. */
        SILENT,
        /** The reply was malformed or belonged to another call. */
        WRONG_REPLY
    }
}
