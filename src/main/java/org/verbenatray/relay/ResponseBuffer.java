package org.verbenatray.relay;

import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.memory.MemoryUse;
import org.verbenatray.servers.ResponseBody;
import org.verbenatray.servers.ResponseHead;

/**
 * The body of a response that is received whole before it is passed on, with its share of the account of bytes. Used on
 * one thread.
 */
final class ResponseBuffer {
    /** The room that is asked for before each read of a body without a length, in bytes. */
    private static final int STEP_BYTES = 16 * 1024;

    private final ResponseBody body = new ResponseBody();

    private final MemoryAccount.Share share;

    private final int maxBytes;

    /** The length that the head states, or zero. */
    private long statedBytes;

    /** The bytes of the share. */
    private long grantedBytes;

    private ResponseBuffer(MemoryAccount.Share share, int maxBytes) {
        this.share = share;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns an empty buffer.
     *
     * @param maxBytes the largest body
     * @param onGivenUp called once, on any thread, if the buffer must be closed because no memory is left
     */
    static ResponseBuffer open(MemoryAccount memory, int maxBytes, Runnable onGivenUp) {
        return new ResponseBuffer(memory.open(MemoryUse.RESPONSE, onGivenUp), maxBytes);
    }

    /** Takes the length from the head of the response. */
    void recordHead(ResponseHead head) {
        String length = head.headers().getFirst(Headers.CONTENT_LENGTH);
        try {
            statedBytes = length == null ? 0 : Math.min(maxBytes, Math.max(0, Long.parseLong(length.trim())));
            body.expect((int) statedBytes);
        } catch (NumberFormatException e) {
            // The HTTP library has its own reading of such a length; memory is then taken as the bytes arrive.
            statedBytes = 0;
        }
    }

    /** Adds the remaining bytes of a part; returns false, without them, if the body would be larger than allowed. */
    boolean add(ByteBuffer part) {
        if (body.size() + part.remaining() > maxBytes) {
            return false;
        }
        body.add(part);
        if (body.capacityBytes() > grantedBytes) {
            grantedBytes = body.capacityBytes();
            share.set(grantedBytes);
        }
        return true;
    }

    /** Sets the number of bytes of an event that is not complete. */
    void setEventBytes(int bytes) {
        share.set(bytes);
    }

    /** Returns whether there is room for more of the body; otherwise the task runs when there is. */
    boolean hasRoom(Runnable whenRoom) {
        long wanted = statedBytes > 0 ? statedBytes : body.capacityFor(STEP_BYTES);
        if (wanted <= grantedBytes) {
            return true;
        }
        if (!share.request(wanted, () -> {
            grantedBytes = wanted;
            whenRoom.run();
        })) {
            return false;
        }
        grantedBytes = wanted;
        return true;
    }

    /** Returns whether the body is not read on because there is no room. */
    boolean isWaiting() {
        return share.isWaiting();
    }

    /** Returns whether nothing of a body was received. */
    boolean isEmpty() {
        return body.size() == 0;
    }

    /** Returns the bytes received and frees them. */
    byte[] take() {
        byte[] bytes = body.toByteArray();
        body.clear();
        return bytes;
    }

    /** Frees the bytes and the share. */
    void close() {
        body.clear();
        share.close();
    }
}
