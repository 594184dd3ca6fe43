package org.verbenatray.once;

/** No byte of a call was written to a backend server and none will be, so the call did not run. */
public final class NotSentException extends RuntimeException {
    /** Creates the failure with a message that names the remedy. */
    public NotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
