package org.verbenatray.relay;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.WritableByteChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Tests for {@link Backlog}. */
public final class BacklogTest {
    @Test
    public void manySmallPartsTakeLittleMoreMemoryThanTheirBytes() {
        Backlog backlog = new Backlog();
        int parts = 500_000;
        for (int count = 0; count < parts; count++) {
            backlog.add(new byte[] {'\n', '\n'});
        }
        Assert.assertEquals(backlog.bytes(), 2 * parts);
        Assert.assertTrue(
                backlog.capacityBytes() < 2 * parts + 2 * Backlog.BLOCK_BYTES, "taken: " + backlog.capacityBytes());
    }

    @Property
    void allBytesAreWrittenInOrder(
            @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 9_000) Integer> sizes,
            @ForAll @IntRange(min = 1, max = 5_000) int acceptedBytes)
            throws Exception {
        Backlog backlog = new Backlog();
        ByteArrayOutputStream expected = new ByteArrayOutputStream();
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        for (int index = 0; index < sizes.size(); index++) {
            byte[] part = String.valueOf((char) ('a' + index % 26))
                    .repeat(sizes.get(index))
                    .getBytes(StandardCharsets.US_ASCII);
            expected.writeBytes(part);
            backlog.add(part);
            backlog.writeTo(accepting(acceptedBytes, written));
            Assert.assertEquals(backlog.bytes(), expected.size() - written.size());
        }
        Assert.assertTrue(backlog.writeTo(Channels.newChannel(written)));
        Assert.assertEquals(written.toByteArray(), expected.toByteArray());
        Assert.assertEquals(backlog.bytes(), 0);
    }

    /** Returns a channel that accepts the given number of bytes in all. */
    private static WritableByteChannel accepting(int bytes, ByteArrayOutputStream target) {
        int end = target.size() + bytes;
        return new WritableByteChannel() {
            @Override
            public int write(ByteBuffer source) {
                int count = Math.min(source.remaining(), end - target.size());
                byte[] part = new byte[count];
                source.get(part);
                target.writeBytes(part);
                return count;
            }

            @Override
            public boolean isOpen() {
                return true;
            }

            @Override
            public void close() {}
        };
    }
}
