package org.verbenatray.servers;

/** Cancels an exchange with a backend server. Calls after the first one have no effect. */
@FunctionalInterface
public interface Cancellation {
    /** Closes the connection of the exchange on its I/O thread. */
    void cancel();
}
