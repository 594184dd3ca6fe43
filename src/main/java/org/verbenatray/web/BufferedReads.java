package org.verbenatray.web;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * The incoming bytes of a connection of which every kind of read passes through {@link #read(ByteBuffer)}, so that a
 * subclass sees all bytes there.
 */
public abstract class BufferedReads extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /** Creates a source of the bytes of another one. */
    protected BufferedReads(StreamSourceConduit next) {
        super(next);
    }

    @Override
    public abstract int read(ByteBuffer target) throws IOException;

    @Override
    public final long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (targets[index].hasRemaining()) {
                return read(targets[index]);
            }
        }
        return 0;
    }

    @Override
    public final long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public final long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }
}
