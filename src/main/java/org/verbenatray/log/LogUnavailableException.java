package org.verbenatray.log;

/** The log service did not respond in time; it is unknown whether an append took effect. */
public final class LogUnavailableException extends RuntimeException {
    /** Creates an exception whose message names the remedy. */
    public LogUnavailableException(String message, Throwable cause) {
        super(message, cause);
    }
}
