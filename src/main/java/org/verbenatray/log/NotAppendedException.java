package org.verbenatray.log;

/** A record was surely not appended and never will be, because it was never handed to the log service. */
public final class NotAppendedException extends RuntimeException {
    /** Creates the failure with a message that names the remedy. */
    public NotAppendedException(String message) {
        super(message);
    }
}
