package org.verbenatray.servers;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The incoming bytes of one connection before they are parsed, with two bounds.
 *
 * <p>The bytes that are no body, from the start of a response or from the last part of its body on, are bounded: a
 * read fails with an {@link IOException} beyond. They are the head, interim responses, chunk sizes, chunk
 * extensions and the trailer. The bytes of one turn are bounded as well: a read then returns no bytes, so that its
 * reader waits until the connection is reported readable again and the other connections of the thread are served.
 *
 * <p>Used on the I/O thread of the connection only.
 */
final class BoundedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /**
     * The largest number of bytes without a byte of a body. More than a turn and a read buffer, since a single read of
     * a body of tiny chunks takes up to a turn of bytes.
     */
    static final int MAX_OVERHEAD_BYTES = 32 * 1024;

    /** The largest number of bytes read before other connections are served. */
    static final int MAX_TURN_BYTES = 16 * 1024;

    /** The bytes read since the start of the response or the last part of its body. */
    private int overheadBytes;

    /** The bytes read since the last read that returned none. */
    private int turnBytes;

    /** Whether the bytes that are no body have exceeded their bound. */
    private boolean exceeded;

    /** Whether the server has closed the connection. */
    private boolean closedByServer;

    /** Whether the rest of the incoming bytes is not wanted. */
    private boolean ended;

    BoundedSource(StreamSourceConduit next) {
        super(next);
    }

    /** Starts to count anew: a response is expected, or a part of a body was passed on. */
    void recordProgress() {
        overheadBytes = 0;
    }

    /**
     * Returns whether the connection has ended because of the bytes of its server, which exceeded their bound or could
     * not be parsed, and not because the server closed it.
     */
    boolean endedByContent() {
        return exceeded || overheadBytes > 0 && !closedByServer;
    }

    /** Ends the incoming bytes, so that a close of the connection does not wait for more. */
    void end() {
        ended = true;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (ended) {
            return -1;
        }
        if (turnBytes >= MAX_TURN_BYTES) {
            turnBytes = 0;
            return 0;
        }
        closedByServer = true;
        int count = next.read(target);
        closedByServer = count < 0;
        record(count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (targets[index].hasRemaining()) {
                return read(targets[index]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) {
        throw new UnsupportedOperationException("responses are read into buffers only");
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) {
        throw new UnsupportedOperationException("responses are read into buffers only");
    }

    private void record(int count) throws IOException {
        if (count <= 0) {
            turnBytes = 0;
            return;
        }
        turnBytes += count;
        overheadBytes += count;
        if (overheadBytes > MAX_OVERHEAD_BYTES) {
            exceeded = true;
            ended = true;
            throw new IOException("more than " + MAX_OVERHEAD_BYTES + " bytes without a part of a body");
        }
    }
}
