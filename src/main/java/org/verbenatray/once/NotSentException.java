package org.verbenatray.once;

/** Indicates that no byte of a call was or will be written to a backend server, so the call did not run. */
public final class NotSentException extends RuntimeException {
    /** Creates the exception. The message should name the remedy. */
    public NotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
