package org.verbenatray.peers;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.verbenatray.peers.generated.StateReply;

/**
 * Puts together the chunks of requested snapshots, one after the other. Not thread-safe.
 *
 * <p>A request may be repeated while its answer is on the way, and a peer that no longer has the requested records
 * answers with a snapshot; so at most as many snapshots are taken as requests were sent.
 */
final class SnapshotAssembly {
    /** The requests that were not answered by a complete snapshot. */
    private long unanswered;

    /** The chunks so far. */
    private ByteString received = ByteString.EMPTY;

    /** The number of chunks so far. */
    private int chunks;

    /** The first offset that the snapshot does not cover. */
    private long upTo;

    /** The number of chunks in all. */
    private int count;

    /** Creates an assembly that expects nothing. */
    private SnapshotAssembly() {}

    /** Returns an assembly that expects nothing. */
    static SnapshotAssembly create() {
        return new SnapshotAssembly();
    }

    /** Expects one more snapshot; one that is being received goes on. */
    void expect() {
        unanswered++;
    }

    /** Takes a chunk and returns the snapshot after its last one; fails on a chunk that is not the next one. */
    Optional<PeerSnapshot> accept(StateReply reply) {
        if (chunks == 0) {
            upTo = reply.getUpTo();
            count = reply.getCount();
        }
        boolean next =
                unanswered > 0 && reply.getIndex() == chunks && reply.getUpTo() == upTo && reply.getCount() == count;
        if (!next || count < 1 || count > PeerFrames.MAX_CHUNKS) {
            throw new BadFrameException("chunk " + reply.getIndex() + " of a snapshot that was not expected");
        }
        received = received.concat(reply.getChunk());
        chunks++;
        if (chunks < count) {
            return Optional.empty();
        }
        PeerSnapshot snapshot = new PeerSnapshot(upTo, received.toStringUtf8());
        unanswered--;
        chunks = 0;
        received = ByteString.EMPTY;
        return Optional.of(snapshot);
    }
}
