package org.verbenatray.relay;

import org.verbenatray.backends.Backend;

/** Receives what shows whether this instance reaches the backend servers. Used on one thread. */
public interface ReachListener {
    /** Called after a poll of an engine, with whether it was answered. */
    void onPoll(Backend engine, boolean answered);

    /** Called when a new connection to a server was opened. */
    void onConnected();

    /** Called when no new connection to a server could be opened. */
    void onNotConnected(Backend server);

    /** Returns whether polls or new connections have failed lately, so that opening a connection would show more. */
    boolean suspectsNewConnections();
}
