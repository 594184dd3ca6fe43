package org.verbenatray.state;

/** Thrown when a snapshot cannot be restored; the state is unchanged. */
public final class SnapshotInvalidException extends RuntimeException {
    /** Creates an exception with a message that names the remedy; the cause may be null. */
    public SnapshotInvalidException(String message, Throwable cause) {
        super(message, cause);
    }
}
