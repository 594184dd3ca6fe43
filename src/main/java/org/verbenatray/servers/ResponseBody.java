package org.verbenatray.servers;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A body as far as it was received. Its memory is close to its size however small its parts are, and it
 * is never copied to grow. Not thread-safe.
 */
public final class ResponseBody {
    private static final int MIN_BLOCK_BYTES = 1024;

    private static final int MAX_BLOCK_BYTES = 64 * 1024;

    /** The blocks in order, all full except the last. */
    private final List<ByteBuffer> blocks = new ArrayList<>();

    private int size;

    private int capacityBytes;

    /** The size that the whole body is expected to have, or zero. */
    private int expectedBytes;

    /** Returns the number of bytes received. */
    public int size() {
        return size;
    }

    /** Returns the number of bytes of the blocks, which is the memory taken. */
    public int capacityBytes() {
        return capacityBytes;
    }

    /** Takes the size that the whole body will have, so that no more memory is taken for it. */
    public void expect(int bytes) {
        expectedBytes = bytes;
    }

    /** Returns the memory that is taken at most once the given number of bytes is added. */
    public int capacityFor(int moreBytes) {
        int capacity = capacityBytes;
        while (capacity - size < moreBytes) {
            capacity += nextBlockBytes(capacity);
        }
        return capacity;
    }

    /** Adds the remaining bytes of a part. */
    public void add(ByteBuffer part) {
        size += part.remaining();
        while (part.hasRemaining()) {
            ByteBuffer block = blockWithRoom();
            int count = Math.min(block.remaining(), part.remaining());
            block.put(part.slice().limit(count));
            part.position(part.position() + count);
        }
    }

    /** Returns a copy of the bytes received. */
    public byte[] toByteArray() {
        ByteBuffer all = ByteBuffer.allocate(size);
        blocks.forEach(block -> all.put(block.duplicate().flip()));
        return all.array();
    }

    /** Frees the bytes. */
    public void clear() {
        blocks.clear();
        size = 0;
        capacityBytes = 0;
    }

    /** Returns the last block if it has room, otherwise a new one. */
    private ByteBuffer blockWithRoom() {
        if (!blocks.isEmpty() && blocks.get(blocks.size() - 1).hasRemaining()) {
            return blocks.get(blocks.size() - 1);
        }
        ByteBuffer block = ByteBuffer.allocate(nextBlockBytes(capacityBytes));
        blocks.add(block);
        capacityBytes += block.capacity();
        return block;
    }

    /** Returns the size of the next block: it doubles the memory up to the largest block or to the expected size. */
    private int nextBlockBytes(int capacity) {
        if (capacity < expectedBytes) {
            return Math.min(MAX_BLOCK_BYTES, expectedBytes - capacity);
        }
        return Math.max(MIN_BLOCK_BYTES, Math.min(MAX_BLOCK_BYTES, capacity));
    }
}
