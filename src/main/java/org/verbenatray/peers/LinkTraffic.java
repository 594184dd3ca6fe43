package org.verbenatray.peers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes on all links; thread-safe. */
@ChannelHandler.Sharable
final class LinkTraffic extends ChannelDuplexHandler {
    /** The sent bytes. */
    private final LongAdder sent = new LongAdder();

    /** The received bytes. */
    private final LongAdder received = new LongAdder();

    /** Creates a count of zero. */
    LinkTraffic() {}

    /** Returns the sent bytes so far. */
    long sentBytes() {
        return sent.sum();
    }

    /** Returns the received bytes so far. */
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
