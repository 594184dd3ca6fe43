package org.verbenatray.state;

/** The log no longer keeps the records that this instance needs and holds no snapshot that covers them. */
public final class HistoryLostException extends RuntimeException {
    /** Creates the failure with a message that names the remedy. */
    public HistoryLostException(long position, long firstRetained) {
        super("the log keeps records from offset " + firstRetained + " on, this instance needs offset " + position
                + " and no snapshot covers the gap; take a snapshot from a running instance");
    }
}
