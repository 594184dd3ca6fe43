package org.verbenatray.peers;

/**
 * Handles messages of one type from peers. Called on the link thread, so it must not block.
 *
 * @param <T> the type of the message
 */
@FunctionalInterface
public interface PeerHandler<T> {
    /** Handles a message that arrived over the link to the given peer, which may have relayed it. */
    void handle(PeerIdentity from, T message);
}
