package org.verbenatray.peers;

import org.verbenatray.peers.generated.Frame;

/** Receives what happens on the links; called on their thread. */
interface LinkOwner {
    /** Returns the first frame of a new link. */
    Frame hello();

    /** A peer said who it is; returns whether the link is kept. */
    boolean opened(PeerLink link, long peerLogOffset);

    /** A frame arrived on an open link; a {@link BadFrameException} closes it. */
    void received(PeerLink link, Frame frame);

    /** A link was closed. */
    void closed(PeerLink link);
}
