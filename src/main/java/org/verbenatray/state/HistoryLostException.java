package org.verbenatray.state;

/** Thrown when the log has dropped records that this instance needs and holds no snapshot that replaces them. */
public final class HistoryLostException extends RuntimeException {
    /** Creates an exception for the offset that is needed and the oldest retained offset. */
    public HistoryLostException(long position, long firstRetained) {
        super("the log keeps records from offset " + firstRetained + " on, this instance needs offset " + position
                + " and no snapshot covers the gap; take a snapshot from a running instance");
    }
}
