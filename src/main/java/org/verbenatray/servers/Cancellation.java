package org.verbenatray.servers;

/** Ends an exchange with a backend server early; calls after the first do nothing. */
@FunctionalInterface
public interface Cancellation {
    /** Closes the connection of the exchange. */
    void cancel();
}
