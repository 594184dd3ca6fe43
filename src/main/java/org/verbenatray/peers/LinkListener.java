package org.verbenatray.peers;

import org.verbenatray.peers.generated.Frame;

/** Receives the events of links. Called on the link thread. */
interface LinkListener {
    /** Returns the hello frame that starts a new link. */
    Frame helloFrame();

    /** Called after the peer sent its hello; returns whether the link is kept. */
    boolean onHello(PeerLink link, long peerLogOffset);

    /** Called for each later frame; a {@link BadFrameException} closes the link. */
    void onFrame(PeerLink link, Frame frame);

    /** Called after the connection was closed or could not be established. */
    void onClosed(PeerLink link);
}
