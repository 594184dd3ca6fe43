package org.verbenatray.peers;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.util.List;
import org.verbenatray.peers.generated.Frame;

/** Netty pipeline that converts between bytes and frames. Each frame is preceded by its length in four bytes. */
final class FramePipeline {
    private FramePipeline() {}

    /** Adds the codecs and then the link to the pipeline of a channel. */
    static void install(Channel channel, PeerLink link) {
        channel.pipeline()
                .addLast(new LengthFieldBasedFrameDecoder(
                        PeerFrames.MAX_FRAME_BYTES, 0, PeerFrames.LENGTH_BYTES, 0, PeerFrames.LENGTH_BYTES))
                .addLast(new FrameDecoder())
                .addLast(new FrameEncoder())
                .addLast(link);
    }

    /** Parses one frame from its bytes without the length. */
    private static final class FrameDecoder extends MessageToMessageDecoder<ByteBuf> {
        FrameDecoder() {
            super(ByteBuf.class);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws InvalidProtocolBufferException {
            out.add(Frame.parseFrom(ByteBufUtil.getBytes(bytes)));
        }
    }

    /** Writes a frame preceded by its length. */
    private static final class FrameEncoder extends MessageToByteEncoder<Frame> {
        FrameEncoder() {
            super(Frame.class);
        }

        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
            byte[] bytes = frame.toByteArray();
            out.writeInt(bytes.length);
            out.writeBytes(bytes);
        }
    }
}
