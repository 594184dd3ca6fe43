package org.verbenatray.orders;

/** Thrown when a send failed before any byte of the order was written to the engine, so that it cannot take effect. */
public final class OrderNotSentException extends RuntimeException {
    /** Creates an exception whose message names the remedy. */
    public OrderNotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
