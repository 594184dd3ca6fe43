package org.verbenatray.peers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent and received on all links. Thread-safe. */
@ChannelHandler.Sharable
final class LinkTraffic extends ChannelDuplexHandler {
    private final LongAdder sent = new LongAdder();

    private final LongAdder received = new LongAdder();

    LinkTraffic() {}

    /** Returns the number of bytes sent so far. */
    long sentBytes() {
        return sent.sum();
    }

    /** Returns the number of bytes received so far. */
    long receivedBytes() {
        return received.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            received.add(bytes.readableBytes());
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof ByteBuf bytes) {
            sent.add(bytes.readableBytes());
        }
        super.write(context, message, promise);
    }
}
