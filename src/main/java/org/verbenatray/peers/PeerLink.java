package org.verbenatray.peers;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.Optional;
import org.verbenatray.peers.generated.Frame;
import org.verbenatray.peers.generated.Hello;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** One connection to a peer, with its send queue. Used on the link thread only. */
final class PeerLink extends SimpleChannelInboundHandler<Frame> {
    /** A connection is closed if the peer sends no hello within this time. */
    private static final long HELLO_TIMEOUT_MILLIS = 5_000;

    /** Bounds the names in a hello, which the peer supplies. */
    private static final int MAX_NAME_CHARS = 128;

    private final LinkListener listener;

    private final Ticker ticker;

    private final boolean outgoing;

    private final Outbox outbox;

    private final SnapshotAssembler snapshotAssembler = SnapshotAssembler.create();

    /** Empty until the connection is established. */
    private Optional<Channel> channel = Optional.empty();

    /** Empty until the peer sent its hello. */
    private Optional<PeerIdentity> peer = Optional.empty();

    private Deadline helloDeadline;

    private Deadline nextHeartbeat;

    /** Empty unless this instance closed the link. */
    private Optional<String> closeReason = Optional.empty();

    private PeerLink(LinkListener listener, Ticker ticker, boolean outgoing, double bulkBytesPerSecond) {
        super(Frame.class);
        this.listener = listener;
        this.ticker = ticker;
        this.outgoing = outgoing;
        long now = ticker.nanos();
        this.outbox = Outbox.create(ByteBudget.create(0, now), ByteBudget.create(bulkBytesPerSecond, now));
        this.helloDeadline = Deadline.afterMillis(now, HELLO_TIMEOUT_MILLIS);
        this.nextHeartbeat = new Deadline(now);
    }

    /** Returns a link for a connection that this instance opened or accepted. */
    static PeerLink create(LinkListener listener, Ticker ticker, boolean outgoing, double bulkBytesPerSecond) {
        return new PeerLink(listener, ticker, outgoing, bulkBytesPerSecond);
    }

    /** Returns the peer, or empty until it sent its hello. */
    Optional<PeerIdentity> peer() {
        return peer;
    }

    /** Returns whether this instance dialed the connection. */
    boolean outgoing() {
        return outgoing;
    }

    /** Returns the assembler of snapshots from this peer. */
    SnapshotAssembler snapshotAssembler() {
        return snapshotAssembler;
    }

    /** Returns whether the connection was ever established. */
    boolean wasConnected() {
        return channel.isPresent();
    }

    /** Returns the reason why this instance closed the link, or empty if the peer or the network did. */
    Optional<String> closeReason() {
        return closeReason;
    }

    /** Returns whether frames of a priority are queued. */
    boolean hasWaiting(FramePriority priority) {
        return outbox.hasWaiting(priority);
    }

    /** Changes the control budget. */
    void changeControlRate(double bytesPerSecond) {
        outbox.changeControlRate(bytesPerSecond, ticker.nanos());
    }

    /** Queues a frame and sends it as soon as the budget permits. */
    void send(FramePriority priority, String key, Frame frame) {
        outbox.put(priority, key, frame);
        flush();
    }

    /** Sends the queued frames that the budgets and the socket buffer permit. */
    void flush() {
        if (channel.isEmpty() || peer.isEmpty()) {
            return;
        }
        Channel open = channel.get();
        boolean written = false;
        while (open.isWritable()) {
            Optional<Frame> frame = outbox.poll(ticker.nanos());
            if (frame.isEmpty()) {
                break;
            }
            open.write(frame.get(), open.voidPromise());
            written = true;
        }
        if (written) {
            open.flush();
        }
    }

    /** Returns whether a heartbeat is due; if so, schedules the next one after the interval. */
    boolean scheduleNextHeartbeatIfDue(long intervalMillis) {
        long now = ticker.nanos();
        if (!nextHeartbeat.hasPassed(now)) {
            return false;
        }
        nextHeartbeat = Deadline.afterMillis(now, intervalMillis);
        return true;
    }

    /** Closes the link if the peer has not sent its hello in time. */
    void closeIfHelloOverdue() {
        if (peer.isEmpty() && helloDeadline.hasPassed(ticker.nanos())) {
            close("no-hello");
        }
    }

    /** Closes the link; the first reason given is kept. */
    void close(String reason) {
        if (closeReason.isEmpty()) {
            closeReason = Optional.of(reason);
        }
        channel.ifPresent(Channel::close);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = Optional.of(context.channel());
        context.writeAndFlush(listener.helloFrame());
    }

    @Override
    public void channelUnregistered(ChannelHandlerContext context) {
        listener.onClosed(this);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(cause instanceof IOException ? "network" : "bad-frame: " + cause.getMessage());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (closeReason.isPresent()) {
            return;
        }
        if (peer.isPresent()) {
            listener.onFrame(this, frame);
            return;
        }
        peer = Optional.of(identityOf(frame));
        if (listener.onHello(this, frame.getHello().getLogOffset())) {
            flush();
        } else {
            close("duplicate");
        }
    }

    /** Returns the identity stated in a hello. */
    private static PeerIdentity identityOf(Frame frame) {
        Hello hello = frame.getHello();
        if (!frame.hasHello() || hello.getProtocolVersion() < PeerFrames.PROTOCOL_VERSION) {
            throw new BadFrameException(
                    "the first frame is not a hello of protocol version " + PeerFrames.PROTOCOL_VERSION + " or later");
        }
        if (!isName(hello.getInstance()) || !isName(hello.getFailureDomain())) {
            throw new BadFrameException("a hello without valid names");
        }
        return new PeerIdentity(hello.getInstance(), hello.getFailureDomain());
    }

    private static boolean isName(String text) {
        return !text.isBlank() && text.length() <= MAX_NAME_CHARS;
    }
}
