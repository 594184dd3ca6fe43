package org.verbenatray.peers;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.verbenatray.peers.generated.StateReply;

/**
 * Assembles requested snapshots from their chunks, one after the other. Not thread-safe.
 *
 * <p>A request may be repeated while its response is in transit, and a peer that no longer has the requested records
 * responds with a snapshot. So as many snapshots are accepted as requests were sent.
 */
final class SnapshotAssembler {
    /** The number of requests for which no complete snapshot arrived. */
    private long expectedSnapshots;

    /** The content of the chunks received so far. */
    private ByteString received = ByteString.EMPTY;

    private int receivedChunks;

    /** The first offset that the current snapshot does not cover. */
    private long upTo;

    /** The number of chunks of the current snapshot. */
    private int totalChunks;

    private SnapshotAssembler() {}

    /** Returns an assembler that expects no snapshot. */
    static SnapshotAssembler create() {
        return new SnapshotAssembler();
    }

    /** Permits one more snapshot; a transfer in progress continues. */
    void expectSnapshot() {
        expectedSnapshots++;
    }

    /**
     * Adds a chunk and returns the snapshot after its last chunk.
     *
     * @throws BadFrameException if it is not the next chunk of an expected snapshot
     */
    Optional<PeerSnapshot> addChunk(StateReply reply) {
        if (receivedChunks == 0) {
            upTo = reply.getUpTo();
            totalChunks = reply.getCount();
        }
        boolean next = expectedSnapshots > 0
                && reply.getIndex() == receivedChunks
                && reply.getUpTo() == upTo
                && reply.getCount() == totalChunks;
        if (!next || totalChunks < 1 || totalChunks > PeerFrames.MAX_CHUNKS) {
            throw new BadFrameException("chunk " + reply.getIndex() + " of a snapshot that was not expected");
        }
        received = received.concat(reply.getChunk());
        receivedChunks++;
        if (receivedChunks < totalChunks) {
            return Optional.empty();
        }
        PeerSnapshot snapshot = new PeerSnapshot(upTo, received.toStringUtf8());
        expectedSnapshots--;
        receivedChunks = 0;
        received = ByteString.EMPTY;
        return Optional.of(snapshot);
    }
}
