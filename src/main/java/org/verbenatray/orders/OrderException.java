package org.verbenatray.orders;

/** An order that was not carried out to its end. */
public final class OrderException extends RuntimeException {
    /** The kind. */
    private final Kind kind;

    /** Creates a failure with a message that names the remedy. */
    OrderException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns the kind. */
    public Kind kind() {
        return kind;
    }

    /** The kinds of failure. */
    public enum Kind {
        /** This instance has no authority over the engine. */
        NO_AUTHORITY,
        /** Another order to the engine is running at this instance. */
        BUSY,
        /** The journal did not accept the intent; nothing was sent. */
        NOT_JOURNALLED,
        /** It is not known yet whether the order took effect; it stays outstanding. */
        UNSETTLED
    }
}
