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

/** One connection to a peer. Used on the thread of the links only. */
final class PeerLink extends SimpleChannelInboundHandler<Frame> {
    /** The time by which a peer must say who it is, in milliseconds. */
    private static final long HELLO_MILLIS = 5_000;

    /** The largest length of the names in a hello in characters. */
    private static final int MAX_NAME_CHARS = 128;

    /** The owner. */
    private final LinkOwner owner;

    /** The source of time. */
    private final Ticker ticker;

    /** Whether this instance opened the connection. */
    private final boolean dialed;

    /** The waiting frames. */
    private final Outbox outbox;

    /** The snapshot that is being received. */
    private final SnapshotAssembly assembly = SnapshotAssembly.create();

    /** The connection. */
    private Optional<Channel> channel = Optional.empty();

    /** The peer, once it said who it is. */
    private Optional<PeerIdentity> peer = Optional.empty();

    /** The time by which the peer must have said who it is. */
    private Deadline helloBy;

    /** The time of the next heartbeat. */
    private Deadline nextHeartbeat;

    /** Why this instance closes the link. */
    private Optional<String> closeReason = Optional.empty();

    /** Creates a link. */
    private PeerLink(LinkOwner owner, Ticker ticker, boolean dialed, double bulkBytesPerSecond) {
        super(Frame.class);
        this.owner = owner;
        this.ticker = ticker;
        this.dialed = dialed;
        long now = ticker.nanos();
        this.outbox = Outbox.create(ByteBudget.create(0, now), ByteBudget.create(bulkBytesPerSecond, now));
        this.helloBy = Deadline.afterMillis(now, HELLO_MILLIS);
        this.nextHeartbeat = new Deadline(now);
    }

    /** Returns a link for a connection that this instance opened or accepted. */
    static PeerLink create(LinkOwner owner, Ticker ticker, boolean dialed, double bulkBytesPerSecond) {
        return new PeerLink(owner, ticker, dialed, bulkBytesPerSecond);
    }

    /** Returns the peer, once it said who it is. */
    Optional<PeerIdentity> peer() {
        return peer;
    }

    /** Returns whether this instance opened the connection. */
    boolean dialed() {
        return dialed;
    }

    /** Returns the snapshot that is being received. */
    SnapshotAssembly assembly() {
        return assembly;
    }

    /** Returns whether the connection was ever established. */
    boolean wasConnected() {
        return channel.isPresent();
    }

    /** Returns why this instance closed the link, empty when the peer or the network did. */
    Optional<String> closeReason() {
        return closeReason;
    }

    /** Returns whether frames of one priority wait. */
    boolean waits(FramePriority priority) {
        return outbox.waits(priority);
    }

    /** Changes the byte budget. */
    void changeControlRate(double bytesPerSecond) {
        outbox.changeControlRate(bytesPerSecond, ticker.nanos());
    }

    /** Sends a frame as soon as the budget allows. */
    void send(FramePriority priority, String key, Frame frame) {
        outbox.put(priority, key, frame);
        flush();
    }

    /** Sends the waiting frames that the budget allows. */
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

    /** Returns whether a heartbeat is due, and sets the time of the one after it. */
    boolean heartbeatDue(long intervalMillis) {
        long now = ticker.nanos();
        if (!nextHeartbeat.passed(now)) {
            return false;
        }
        nextHeartbeat = Deadline.afterMillis(now, intervalMillis);
        return true;
    }

    /** Closes the link when the peer did not say who it is in time. */
    void checkHello() {
        if (peer.isEmpty() && helloBy.passed(ticker.nanos())) {
            close("no-hello");
        }
    }

    /** Closes the link for a reason. */
    void close(String reason) {
        if (closeReason.isEmpty()) {
            closeReason = Optional.of(reason);
        }
        channel.ifPresent(Channel::close);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = Optional.of(context.channel());
        context.writeAndFlush(owner.hello());
    }

    @Override
    public void channelUnregistered(ChannelHandlerContext context) {
        owner.closed(this);
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
            owner.received(this, frame);
            return;
        }
        peer = Optional.of(identityOf(frame));
        if (owner.opened(this, frame.getHello().getLogOffset())) {
            flush();
        } else {
            close("duplicate");
        }
    }

    /** Returns the identity that a first frame states. */
    private static PeerIdentity identityOf(Frame frame) {
        Hello hello = frame.getHello();
        if (!frame.hasHello() || hello.getProtocolVersion() < PeerFrames.PROTOCOL_VERSION) {
            throw new BadFrameException("no hello of a protocol version from " + PeerFrames.PROTOCOL_VERSION);
        }
        if (!isName(hello.getInstance()) || !isName(hello.getFailureDomain())) {
            throw new BadFrameException("a hello without names");
        }
        return new PeerIdentity(hello.getInstance(), hello.getFailureDomain());
    }

    /** Returns whether a text may name an instance or a failure domain. */
    private static boolean isName(String text) {
        return !text.isBlank() && text.length() <= MAX_NAME_CHARS;
    }
}
