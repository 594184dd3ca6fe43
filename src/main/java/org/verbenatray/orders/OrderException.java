package org.verbenatray.orders;

/** Thrown when an order was not journalled or its outcome could not be determined or journalled. */
public final class OrderException extends RuntimeException {
    private final Kind kind;

    OrderException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /** Returns the kind of failure. */
    public Kind kind() {
        return kind;
    }

    /** The kinds of failure of an order. */
    public enum Kind {
        /** This instance does not hold the lease that covers the engine. */
        NO_AUTHORITY,
        /** This instance is already executing another order to the engine. */
        BUSY,
        /** The intent was not accepted by the log; nothing was sent to the engine. */
        NOT_JOURNALLED,
        /** The outcome of the order is unknown or not journalled; the order stays outstanding. */
        UNSETTLED
    }
}
