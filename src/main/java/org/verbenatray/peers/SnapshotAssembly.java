package org.verbenatray.peers;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.verbenatray.peers.generated.StateReply;

/** Puts together the chunks of a requested snapshot. Not thread-safe. */
final class SnapshotAssembly {
    /** Whether a snapshot was requested and is not complete. */
    private boolean expected;

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

    /** Expects a snapshot from its first chunk on. */
    void expect() {
        expected = true;
        received = ByteString.EMPTY;
        chunks = 0;
    }

    /** Takes a chunk and returns the snapshot after its last one; fails on a chunk that is not the next one. */
    Optional<PeerSnapshot> accept(StateReply reply) {
        if (chunks == 0) {
            upTo = reply.getUpTo();
            count = reply.getCount();
        }
        boolean next = expected && reply.getIndex() == chunks && reply.getUpTo() == upTo && reply.getCount() == count;
        if (!next || count < 1 || count > PeerFrames.MAX_CHUNKS) {
            throw new BadFrameException("chunk " + reply.getIndex() + " of a snapshot that was not expected");
        }
        received = received.concat(reply.getChunk());
        chunks++;
        if (chunks < count) {
            return Optional.empty();
        }
        PeerSnapshot snapshot = new PeerSnapshot(upTo, received.toStringUtf8());
        expected = false;
        received = ByteString.EMPTY;
        return Optional.of(snapshot);
    }
}
