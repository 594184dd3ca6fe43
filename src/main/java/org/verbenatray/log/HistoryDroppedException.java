package org.verbenatray.log;

/** The records asked for were dropped from the log; list the newest record of each key instead. */
public final class HistoryDroppedException extends RuntimeException {
    /** Creates the exception. */
    public HistoryDroppedException(String message) {
        super(message);
    }
}
