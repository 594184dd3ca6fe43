package org.verbenatray.peers;

/**
 * Handles a message of a peer; runs on the thread of the links and must not block.
 *
 * @param <T> the type of the message
 */
@FunctionalInterface
public interface PeerHandler<T> {
    /** Handles one message that arrived over the link to the given peer. */
    void handle(PeerIdentity from, T message);
}
