package org.verbenatray.servers;

/** Receives which connections calls use and how long servers take to answer on them. Called on the I/O thread. */
public interface TrafficListener {
    /** A listener that records nothing. */
    TrafficListener NONE = new TrafficListener() {};

    /** Called when a connection is about to be opened. */
    default void onOpening(CallPurpose purpose) {}

    /**
     * Called when the head of a response has arrived.
     *
     * @param purpose what the call is for
     * @param newConnection whether the call was the first one on its connection
     * @param seconds the time since the call was written
     */
    default void onHead(CallPurpose purpose, boolean newConnection, double seconds) {}
}
