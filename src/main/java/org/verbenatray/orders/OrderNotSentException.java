package org.verbenatray.orders;

/** No byte of an order was written to the engine. */
public final class OrderNotSentException extends RuntimeException {
    /** Creates the failure with a message that names the remedy. */
    public OrderNotSentException(String message, Throwable cause) {
        super(message, cause);
    }
}
