package org.verbenatray.peers;

import org.verbenatray.time.Deadline;

/**
 * State of a peer as seen by this instance.
 *
 * @param identity the peer
 * @param reachable whether a frame arrived from it before its deadline
 * @param logOffset the newest log offset that it reported to have read, -1 if none
 * @param silentAfter the deadline for its next frame; if it is unreachable, the time at which it is removed
 */
public record PeerView(PeerIdentity identity, boolean reachable, long logOffset, Deadline silentAfter) {}
