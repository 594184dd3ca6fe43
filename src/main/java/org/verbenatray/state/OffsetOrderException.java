package org.verbenatray.state;

/** Thrown when a record is not the next one in the order of the offsets. */
public final class OffsetOrderException extends RuntimeException {
    private final long expectedOffset;
    private final long actualOffset;

    /** Creates an exception for the expected offset and the one that was found. */
    public OffsetOrderException(long expected, long found) {
        super("expected offset " + expected + " but found " + found + "; read the log again from the expected offset");
        this.expectedOffset = expected;
        this.actualOffset = found;
    }

    /** Returns the offset of the record that must be applied next. */
    public long expectedOffset() {
        return expectedOffset;
    }

    /** Returns the offset of the record that was passed instead. */
    public long actualOffset() {
        return actualOffset;
    }
}
