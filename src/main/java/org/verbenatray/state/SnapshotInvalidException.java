package org.verbenatray.state;

/** A snapshot cannot be taken over; the state is as it was before. */
public final class SnapshotInvalidException extends RuntimeException {
    /** Creates the failure with a message that names the remedy. */
    public SnapshotInvalidException(String message, Throwable cause) {
        super(message, cause);
    }
}
