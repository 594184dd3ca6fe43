package org.verbenatray.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;
import org.verbenatray.peers.generated.Frame;
import org.verbenatray.peers.generated.StateReply;

/** Tests of {@link SnapshotAssembly}. */
public final class SnapshotAssemblyTest {
    private static final PeerSnapshot SNAPSHOT = new PeerSnapshot(7, "x".repeat(2 * PeerFrames.CHUNK_BYTES + 1));

    @Test
    public void aRequestThatIsRepeatedDuringTheTransferGetsAsManySnapshotsAsRequests() {
        SnapshotAssembly assembly = SnapshotAssembly.create();
        List<StateReply> chunks =
                PeerFrames.chunks(SNAPSHOT).stream().map(Frame::getStateReply).toList();
        assembly.expect();
        assertEquals(assembly.accept(chunks.get(0)), Optional.empty());
        assembly.expect();
        assertEquals(assembly.accept(chunks.get(1)), Optional.empty());
        assertEquals(assembly.accept(chunks.get(2)), Optional.of(SNAPSHOT));
        assembly.accept(chunks.get(0));
        assertThrows(BadFrameException.class, () -> assembly.accept(chunks.get(2)));
        assembly.accept(chunks.get(1));
        assertEquals(assembly.accept(chunks.get(2)), Optional.of(SNAPSHOT));
        assertThrows(BadFrameException.class, () -> assembly.accept(chunks.get(0)));
    }
}
