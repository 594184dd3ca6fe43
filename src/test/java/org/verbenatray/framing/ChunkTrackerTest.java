package org.verbenatray.framing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Chunks with long extensions, as far as a connection passes them on. */
public final class ChunkTrackerTest {
    private static final int COUNT = 10_000;

    @Test
    public void manyExtensionsAreFollowedToTheEndOfTheirChunk() throws Exception {
        Assert.assertTrue(isComplete(";a=b".repeat(COUNT)));
    }

    @Test
    public void aLongQuotedValueIsFollowedToTheEndOfItsChunk() throws Exception {
        Assert.assertTrue(isComplete(";a=\"" + "\\\"b".repeat(COUNT) + "\""));
    }

    @Test
    public void aQuotedValueWithoutItsEndIsMalformed() {
        Assert.assertThrows(MalformedMessageException.class, () -> isComplete(";a=\"" + "\\\"b".repeat(COUNT)));
    }

    private static boolean isComplete(String extensions) throws MalformedMessageException {
        BodyTracker tracker = BodyTracker.ofChunks();
        String body = "5" + extensions + "\r\nwhole\r\n0\r\n\r\n";
        tracker.take(ByteBuffer.wrap(body.getBytes(StandardCharsets.ISO_8859_1)));
        return tracker.isComplete();
    }
}
