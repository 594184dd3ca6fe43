package org.verbenatray.log;

/** The log service did not answer; whether an append took effect is unknown. */
public final class LogUnavailableException extends RuntimeException {
    /** Creates the failure with a message that names the remedy. */
    public LogUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
