package org.verbenatray.state;

/** A record was applied out of the order of the offsets. */
public final class OffsetOrderException extends RuntimeException {
    /** The offset that had to come. */
    private final long expected;

    /** The offset that came. */
    private final long found;

    /** Creates the failure. */
    public OffsetOrderException(long expected, long found) {
        super("expected offset " + expected + " but found " + found + "; read the log again from the expected offset");
        this.expected = expected;
        this.found = found;
    }

    /** Returns the offset that had to come. */
    public long expected() {
        return expected;
    }

    /** Returns the offset that came. */
    public long found() {
        return found;
    }
}
