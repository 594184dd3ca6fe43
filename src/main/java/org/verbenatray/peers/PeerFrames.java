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

/** Builds frames and knows their bounds. */
final class PeerFrames {
    /** The largest frame in bytes. */
    static final int MAX_FRAME_BYTES = 256 * 1_024;

    /** The bytes of the length before a frame. */
    static final int LENGTH_BYTES = 4;

    /** The size in bytes beyond which records go into the next frame. */
    static final int MAX_RECORDS_BYTES = 16 * 1_024;

    /** The chunks of a snapshot in bytes. */
    static final int CHUNK_BYTES = 128 * 1_024;

    /** The largest number of chunks of a snapshot. */
    static final int MAX_CHUNKS = 256;

    /** The version of the protocol between instances; later versions may add frames, which this one ignores. */
    static final int PROTOCOL_VERSION = 1;

    /** The room that a frame needs besides its payload in bytes. */
    private static final int MAX_ENVELOPE_BYTES = 64;

    /** Prevents instances. */
    private PeerFrames() {}

    /** Returns the bytes of a frame on the wire. */
    static int wireBytes(Frame frame) {
        return LENGTH_BYTES + frame.getSerializedSize();
    }

    /** Returns the first frame of a link. */
    static Frame hello(PeerIdentity self, long logOffset) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setInstance(self.instance())
                        .setFailureDomain(self.failureDomain())
                        .setProtocolVersion(PROTOCOL_VERSION)
                        .setLogOffset(logOffset))
                .build();
    }

    /** Returns a heartbeat. */
    static Frame heartbeat(long logOffset, long sequence) {
        return Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setLogOffset(logOffset).setSequence(sequence))
                .build();
    }

    /** Returns a request of records, and of a snapshot before them. */
    static Frame stateRequest(long fromOffset, boolean snapshot) {
        return Frame.newBuilder()
                .setStateRequest(
                        StateRequest.newBuilder().setFromOffset(fromOffset).setSnapshot(snapshot))
                .build();
    }

    /** Returns the frames for records, in order; a record that no frame can hold ends the list. */
    static List<Frame> records(List<StoredRecord> records) {
        List<Frame> frames = new ArrayList<>();
        LogRecords.Builder next = LogRecords.newBuilder();
        int bytes = 0;
        for (StoredRecord stored : records) {
            ByteString json = ByteString.copyFromUtf8(RecordCodec.encode(stored));
            if (json.size() > MAX_FRAME_BYTES - MAX_ENVELOPE_BYTES) {
                break;
            }
            if (bytes > 0 && bytes + json.size() > MAX_RECORDS_BYTES) {
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

    /** Returns the frames for a snapshot; fails with an {@link IllegalArgumentException} when it is too large. */
    static List<Frame> chunks(PeerSnapshot snapshot) {
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
