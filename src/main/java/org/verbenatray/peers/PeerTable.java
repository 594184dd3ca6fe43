package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.time.Deadline;

/** The peers that sent a frame, each with the deadline for its next one. Thread-safe. */
final class PeerTable {
    /** An unreachable peer is removed after this time. */
    private static final long UNREACHABLE_RETENTION_MILLIS = 600_000;

    private static final int MAX_PEERS = 4_096;

    /** The peers by name. */
    private final SortedMap<String, PeerView> peers = new TreeMap<>();

    private PeerTable() {}

    /** Returns an empty table. */
    static PeerTable create() {
        return new PeerTable();
    }

    /**
     * Records that a frame arrived from a peer and returns whether the peer was unknown or unreachable before.
     *
     * <p>An unknown peer is ignored when the table is full. If no log offset is given, the previous one is kept, -1 if
     * none.
     */
    synchronized boolean recordContact(PeerIdentity peer, Optional<Long> logOffset, Deadline silentAfter) {
        PeerView before = peers.get(peer.instance());
        if (before == null && peers.size() >= MAX_PEERS) {
            return false;
        }
        long known = before == null ? -1 : before.logOffset();
        peers.put(peer.instance(), new PeerView(peer, true, logOffset.orElse(known), silentAfter));
        return before == null || !before.reachable();
    }

    /**
     * Marks the peers whose deadline has passed as unreachable and returns them. Removes peers that have been
     * unreachable for the retention time.
     */
    synchronized List<PeerIdentity> markSilentPeers(long nowNanos) {
        List<PeerIdentity> silent = new ArrayList<>();
        peers.values().removeIf(peer -> !peer.reachable() && peer.silentAfter().hasPassed(nowNanos));
        peers.replaceAll((instance, peer) -> {
            if (!peer.silentAfter().hasPassed(nowNanos)) {
                return peer;
            }
            silent.add(peer.identity());
            return new PeerView(
                    peer.identity(),
                    false,
                    peer.logOffset(),
                    Deadline.afterMillis(nowNanos, UNREACHABLE_RETENTION_MILLIS));
        });
        return silent;
    }

    /** Returns the peers, reachable or not, in the order of their names. */
    synchronized List<PeerView> peers() {
        return List.copyOf(peers.values());
    }
}
