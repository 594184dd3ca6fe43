package org.verbenatray.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.memory.MemoryUse;
import org.verbenatray.servers.ResponseBody;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of one request into memory. A body for which there is no room is not read: its bytes wait in the
 * network, and the request is given up if that lasts. Used on one thread.
 */
final class RequestBodyReader {
    /** The time for which a body waits for room; a caller gives up a request that is not read for a second. */
    private static final long MAX_WAIT_MILLIS = 800;

    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final HttpServerExchange exchange;
    private final RequestGuard guard;
    private final Listener listener;
    private final MemoryAccount.Share share;

    /** The largest body that is accepted, in bytes. */
    private final long maxBytes;

    /** The length of the body in bytes, or -1 for one in chunks. */
    private final long length;

    /** The bytes of a body in chunks. */
    private final ResponseBody chunks = new ResponseBody();

    /** The bytes of a body with a length; null before there is room. */
    private ByteBuffer whole;

    /** The bytes of the share. */
    private long grantedBytes;

    /** Null before the first read. */
    private StreamSourceChannel channel;

    /** Gives the request up while there is no room; null while there is. */
    private XnioIoThread.Key waitTimer;

    private boolean ended;

    private RequestBodyReader(
            HttpServerExchange exchange, long maxBytes, MemoryAccount memory, RequestGuard guard, Listener listener) {
        this.maxBytes = maxBytes;
        this.exchange = exchange;
        this.guard = guard;
        this.listener = listener;
        this.length = exchange.isRequestComplete() ? 0 : exchange.getRequestContentLength();
        this.share = memory.open(MemoryUse.REQUEST_BODY, () -> {});
    }

    /**
     * Reads the body of the request of an exchange and calls the listener once.
     *
     * @param maxBytes the largest body that is accepted
     */
    static void read(
            HttpServerExchange exchange, long maxBytes, MemoryAccount memory, RequestGuard guard, Listener listener) {
        new RequestBodyReader(exchange, maxBytes, memory, guard, listener).readOn();
    }

    /** Reads what has arrived, as far as there is room. */
    private void readOn() {
        try {
            while (!ended) {
                if (!hasRoom()) {
                    awaitRoom();
                    return;
                }
                stopWaitTimer();
                int count = readPart();
                if (count < 0) {
                    end();
                    listener.onBody(bytes(), share);
                    return;
                }
                if (count == 0) {
                    channel.getReadSetter().set(ready -> guard.run(this::readOn));
                    channel.resumeReads();
                    return;
                }
            }
        } catch (IOException e) {
            end();
            share.close();
            listener.onFailure(e);
        }
    }

    private boolean hasRoom() {
        long wanted = length >= 0 ? length : chunks.capacityFor(READ_BUFFER_BYTES);
        if (wanted > grantedBytes && !share.request(wanted, () -> executeStep(this::readOn))) {
            return false;
        }
        grantedBytes = wanted;
        return true;
    }

    private int readPart() throws IOException {
        if (channel == null && exchange.isRequestComplete()) {
            return -1;
        }
        if (channel == null) {
            channel = exchange.getRequestChannel();
        }
        if (length < 0) {
            ByteBuffer part = ByteBuffer.allocate(READ_BUFFER_BYTES);
            int count = channel.read(part);
            chunks.add(part.flip());
            if (chunks.size() > maxBytes) {
                throw new RequestTooBigException("the body is larger than " + maxBytes + " bytes");
            }
            return count;
        }
        if (whole == null) {
            whole = ByteBuffer.allocate((int) length);
        }
        return channel.read(whole.hasRemaining() ? whole : ByteBuffer.allocate(1));
    }

    private byte[] bytes() {
        if (length < 0) {
            byte[] copy = chunks.toByteArray();
            chunks.clear();
            return copy;
        }
        return whole == null ? new byte[0] : whole.array();
    }

    private void awaitRoom() {
        if (channel != null) {
            channel.suspendReads();
        }
        if (waitTimer == null) {
            waitTimer = exchange.getIoThread()
                    .executeAfter(guard.wrap(this::giveUpWaiting), MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void giveUpWaiting() {
        waitTimer = null;
        if (share.isWaiting() && !ended) {
            end();
            share.close();
            listener.onNoRoom();
        }
    }

    private void end() {
        ended = true;
        stopWaitTimer();
    }

    private void stopWaitTimer() {
        if (waitTimer != null) {
            waitTimer.remove();
            waitTimer = null;
        }
    }

    private void executeStep(Runnable step) {
        exchange.getIoThread().execute(guard.wrap(step));
    }

    /** Receives the end of a read; exactly one of its methods is called. */
    interface Listener {
        /** Takes the whole body, and its share of the memory, to be closed when the body is not kept any more. */
        void onBody(byte[] body, MemoryAccount.Share share);

        /** Called when the body cannot be read to its end. */
        void onFailure(IOException failure);

        /** Called when there was no room for the body. */
        void onNoRoom();
    }
}
