package org.verbenatray.peers;

/**
 * Snapshot of the state folded from the log, for a peer that cannot reach the platform.
 *
 * @param upTo the first offset that the snapshot does not cover
 * @param json the snapshot as JSON
 */
public record PeerSnapshot(long upTo, String json) {}
