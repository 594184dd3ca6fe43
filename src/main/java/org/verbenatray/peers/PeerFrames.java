package org.verbenatray.peers;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.peers.generated.Frame;
import org.verbenatray.peers.generated.Heartbeat;
import org.verbenatray.peers.generated.Hello;
import org.verbenatray.peers.generated.LogRecords;
import org.verbenatray.peers.generated.StateReply;
import org.verbenatray.peers.generated.StateRequest;

/** Builds frames and defines their size limits. */
final class PeerFrames {
    /** The largest frame in bytes, without its length prefix. */
    static final int MAX_FRAME_BYTES = 256 * 1_024;

    /** The size of the length prefix of a frame in bytes. */
    static final int LENGTH_BYTES = 4;

    /** Records that would exceed this size go into the next frame; a single larger record is sent alone. */
    static final int TARGET_RECORDS_FRAME_BYTES = 16 * 1_024;

    /** The size of all snapshot chunks but the last one in bytes. */
    static final int CHUNK_BYTES = 128 * 1_024;

    /** The largest number of chunks of a snapshot. */
    static final int MAX_CHUNKS = 256;

    /** The version of the protocol between instances. Later versions may add frame types, which this one ignores. */
    static final int PROTOCOL_VERSION = 1;

    /** The size of a frame besides its payload in bytes, at most. */
    private static final int MAX_ENVELOPE_BYTES = 64;

    private PeerFrames() {}

    /** Returns the size of a frame on the wire in bytes, with its length prefix. */
    static int wireBytes(Frame frame) {
        return LENGTH_BYTES + frame.getSerializedSize();
    }

    /** Returns a hello frame, the first one of a link. */
    static Frame hello(PeerIdentity self, long logOffset) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setInstance(self.instance())
                        .setFailureDomain(self.failureDomain())
                        .setProtocolVersion(PROTOCOL_VERSION)
                        .setLogOffset(logOffset))
                .build();
    }

    /** Returns a heartbeat frame. */
    static Frame heartbeat(long logOffset, long sequence) {
        return Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setLogOffset(logOffset).setSequence(sequence))
                .build();
    }

    /** Returns a request for records from an offset on, or for a snapshot and the records after it. */
    static Frame stateRequest(long fromOffset, boolean snapshot) {
        return Frame.newBuilder()
                .setStateRequest(
                        StateRequest.newBuilder().setFromOffset(fromOffset).setSnapshot(snapshot))
                .build();
    }

    /**
     * Returns the frames for records, in order. The list ends before the first record that is too large for a frame.
     */
    static List<Frame> recordFrames(List<StoredRecord> records) {
        List<Frame> frames = new ArrayList<>();
        LogRecords.Builder next = LogRecords.newBuilder();
        int bytes = 0;
        for (StoredRecord stored : records) {
            ByteString json = ByteString.copyFromUtf8(RecordCodec.encode(stored));
            if (json.size() > MAX_FRAME_BYTES - MAX_ENVELOPE_BYTES) {
                break;
            }
            if (bytes > 0 && bytes + json.size() > TARGET_RECORDS_FRAME_BYTES) {
                frames.add(Frame.newBuilder().setLogRecords(next).build());
                next = LogRecords.newBuilder();
                bytes = 0;
            }
            next.addRecords(json);
            bytes += json.size();
        }
        if (bytes > 0) {
            frames.add(Frame.newBuilder().setLogRecords(next).build());
        }
        return frames;
    }

    /**
     * Returns the frames for a snapshot.
     *
     * @throws IllegalArgumentException if the snapshot is too large
     */
    static List<Frame> snapshotFrames(PeerSnapshot snapshot) {
        ByteString bytes = ByteString.copyFromUtf8(snapshot.json());
        int count = Math.max(1, (bytes.size() + CHUNK_BYTES - 1) / CHUNK_BYTES);
        if (count > MAX_CHUNKS) {
            throw new IllegalArgumentException("a snapshot of " + bytes.size() + " bytes is larger than "
                    + (long) MAX_CHUNKS * CHUNK_BYTES + "; let the instance start from the log instead");
        }
        List<Frame> frames = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            int end = Math.min(bytes.size(), (index + 1) * CHUNK_BYTES);
            frames.add(Frame.newBuilder()
                    .setStateReply(StateReply.newBuilder()
                            .setUpTo(snapshot.upTo())
                            .setIndex(index)
                            .setCount(count)
                            .setChunk(bytes.substring(index * CHUNK_BYTES, end)))
                    .build());
        }
        return frames;
    }
}
