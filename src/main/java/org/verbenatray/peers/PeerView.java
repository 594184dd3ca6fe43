package org.verbenatray.peers;

import org.verbenatray.time.Deadline;

/**
 * What is known of a peer.
 *
 * @param identity the peer
 * @param reachable whether it was heard before its deadline
 * @param logOffset the newest offset of the log that it said to have read
 * @param silentAfter the time by which it must be heard again
 */
public record PeerView(PeerIdentity identity, boolean reachable, long logOffset, Deadline silentAfter) {}
