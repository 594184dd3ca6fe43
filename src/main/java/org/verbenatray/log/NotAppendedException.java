package org.verbenatray.log;

/** A record was not appended and never will be, because it was never sent to the log service. */
public final class NotAppendedException extends RuntimeException {
    /** Creates an exception whose message names the remedy. */
    public NotAppendedException(String message) {
        super(message);
    }
}
