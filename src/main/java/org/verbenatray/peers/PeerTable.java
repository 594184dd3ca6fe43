package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.time.Deadline;

/** The peers that were heard, each with the deadline of its silence. Thread-safe. */
final class PeerTable {
    /** The time after which an unreachable peer is forgotten, in milliseconds. */
    private static final long FORGET_MILLIS = 600_000;

    /** The largest number of peers. */
    private static final int MAX_PEERS = 4_096;

    /** The peers by instance. */
    private final SortedMap<String, PeerView> peers = new TreeMap<>();

    /** Creates an empty table. */
    private PeerTable() {}

    /** Returns an empty table. */
    static PeerTable create() {
        return new PeerTable();
    }

    /** Notes that a peer was heard and returns whether it was not reachable before. */
    synchronized boolean heard(PeerIdentity peer, Optional<Long> logOffset, Deadline silentAfter) {
        PeerView before = peers.get(peer.instance());
        if (before == null && peers.size() >= MAX_PEERS) {
            return false;
        }
        long known = before == null ? -1 : before.logOffset();
        peers.put(peer.instance(), new PeerView(peer, true, logOffset.orElse(known), silentAfter));
        return before == null || !before.reachable();
    }

    /** Marks the peers whose deadline has passed as unreachable and returns them; forgets those that long have been. */
    synchronized List<PeerIdentity> expire(long nowNanos) {
        List<PeerIdentity> silent = new ArrayList<>();
        peers.values().removeIf(peer -> !peer.reachable() && peer.silentAfter().passed(nowNanos));
        peers.replaceAll((instance, peer) -> {
            if (!peer.silentAfter().passed(nowNanos)) {
                return peer;
            }
            silent.add(peer.identity());
            return new PeerView(
                    peer.identity(), false, peer.logOffset(), Deadline.afterMillis(nowNanos, FORGET_MILLIS));
        });
        return silent;
    }

    /** Returns the peers in the order of their names. */
    synchronized List<PeerView> peers() {
        return List.copyOf(peers.values());
    }
}
