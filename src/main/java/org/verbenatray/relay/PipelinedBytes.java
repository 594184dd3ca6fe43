package org.verbenatray.relay;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.memory.MemoryUse;

/** The bytes of pipelined requests that are read while one request is open, up to a limit. Used on one thread. */
final class PipelinedBytes {
    private static final int MIN_CAPACITY_BYTES = 1_024;

    private final long maxBytes;

    private final MemoryAccount.Share share;

    private byte[] bytes = {};

    private int size;

    private PipelinedBytes(long maxBytes, MemoryAccount memory) {
        this.maxBytes = maxBytes;
        this.share = memory.open(MemoryUse.REQUEST_BODY, () -> {});
    }

    /** Returns an object without bytes. */
    static PipelinedBytes upTo(long maxBytes, MemoryAccount memory) {
        return new PipelinedBytes(maxBytes, memory);
    }

    /**
     * Adds bytes behind those that the HTTP server is to read next on the connection. Returns false, and drops the
     * bytes, if they exceed the limit or there is no memory for them.
     */
    boolean add(HttpServerConnection connection, ByteBuffer received) {
        PooledByteBuffer earlier = connection.getExtraBytes();
        int earlierBytes = size > 0 || earlier == null ? 0 : earlier.getBuffer().remaining();
        if (!reserve(size + earlierBytes + received.remaining())) {
            return false;
        }
        if (earlierBytes > 0) {
            append(earlier.getBuffer());
            earlier.close();
        }
        append(received);
        connection.setExtraBytes(new ImmediatePooledByteBuffer(ByteBuffer.wrap(bytes, 0, size)));
        return true;
    }

    /** Frees the memory of the account. */
    void close() {
        share.close();
    }

    /** Makes room for a number of bytes in all; returns false if there is none. */
    private boolean reserve(long newSize) {
        if (newSize > maxBytes) {
            return false;
        }
        if (newSize <= bytes.length) {
            return true;
        }
        int capacity = (int) Math.min(maxBytes, Math.max(2 * newSize, MIN_CAPACITY_BYTES));
        if (!share.request(capacity, () -> {})) {
            share.close();
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    private void append(ByteBuffer added) {
        int count = added.remaining();
        added.get(bytes, size, count);
        size += count;
    }
}
