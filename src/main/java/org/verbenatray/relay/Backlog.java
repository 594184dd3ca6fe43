package org.verbenatray.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The bytes of a stream that its caller has not read yet. Small parts share blocks, so that the memory taken is close
 * to the number of bytes however small the parts are.
 */
final class Backlog {
    /** The size of a block in bytes. */
    static final int BLOCK_BYTES = 4 * 1024;

    /** The blocks in order; each is ready to be read. */
    private final Deque<ByteBuffer> blocks = new ArrayDeque<>();

    private int bytes;

    /** Returns the number of bytes. */
    int bytes() {
        return bytes;
    }

    /** Returns the number of bytes of the block that is written next. */
    int firstBytes() {
        return blocks.isEmpty() ? 0 : blocks.peekFirst().remaining();
    }

    /** Returns the number of bytes that wait behind the block that is being written. */
    int bytesBehindFirst() {
        return blocks.isEmpty() ? 0 : bytes - blocks.peekFirst().remaining();
    }

    /** Returns the number of bytes of the blocks, which is the memory taken. */
    int capacityBytes() {
        return blocks.stream().mapToInt(ByteBuffer::capacity).sum();
    }

    /** Adds a part. The array must not change afterwards. */
    void add(byte[] part) {
        bytes += part.length;
        ByteBuffer last = blocks.peekLast();
        if (last == null || part.length >= BLOCK_BYTES) {
            blocks.addLast(ByteBuffer.wrap(part));
            return;
        }
        if (last.capacity() - last.limit() < part.length) {
            last = ByteBuffer.allocate(BLOCK_BYTES).limit(0);
            blocks.addLast(last);
        }
        int end = last.limit();
        last.limit(end + part.length);
        last.put(end, part);
    }

    /** Adds a part of a larger array as a block of its own. The array must not change afterwards. */
    void add(ByteBuffer block) {
        bytes += block.remaining();
        blocks.addLast(block);
    }

    /** Writes as much as the channel accepts; returns whether that was all. */
    boolean writeTo(WritableByteChannel channel) throws IOException {
        while (!blocks.isEmpty()) {
            ByteBuffer next = blocks.peekFirst();
            int count = channel.write(next);
            bytes -= Math.max(0, count);
            if (!next.hasRemaining()) {
                blocks.removeFirst();
            } else if (count <= 0) {
                return false;
            }
        }
        return true;
    }
}
