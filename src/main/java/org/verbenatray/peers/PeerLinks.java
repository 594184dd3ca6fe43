package org.verbenatray.peers;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.peers.LinkPlan.PlannedLinks;
import org.verbenatray.peers.generated.DomainDigest;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.Frame;
import org.verbenatray.peers.generated.Leaving;
import org.verbenatray.peers.generated.LoadDelta;
import org.verbenatray.peers.generated.SuspectReport;
import org.verbenatray.peers.generated.SuspectState;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Links of this instance to its peers: a listening socket and the connections planned by {@link LinkPlan}.
 *
 * <p>All links run on one thread. All methods may be called from any thread; only {@link #close} blocks. Messages that
 * can't be sent immediately are queued within bounds and replaced by newer state. Delivery is not confirmed.
 */
public final class PeerLinks implements AutoCloseable {
    private static final Logger log = System.getLogger(PeerLinks.class.getName());

    /** The interval of the checks for heartbeats, silent peers, refilled budgets and reconnects. */
    private static final int TICK_INTERVAL_MILLIS = 100;

    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;

    private static final int SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    /** Leaves room for this many messages per millisecond before the sequence runs ahead of the clock. */
    private static final long SEQUENCES_PER_MILLI = 1_000;

    private final PeerSettings settings;

    /** The newest log offset that this instance has read. */
    private final LongSupplier logOffset;

    private final Ticker ticker;

    /** A group of one thread, on which all links run. */
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private final LinkRegistry registry;

    private final FrameRouter router;

    private final LinkDialer dialer;

    private final PeerTable table = PeerTable.create();

    /** The sequence number of the last message. It starts at the wall clock, so that it grows across restarts. */
    private final AtomicLong sequence;

    private final LinkTraffic traffic = new LinkTraffic();

    private final Channel server;

    private PeerLinks(
            PeerSettings settings, PeerHandlers handlers, LongSupplier logOffset, Ticker ticker, Clock clock) {
        this.settings = settings;
        this.logOffset = logOffset;
        this.ticker = ticker;
        this.sequence = new AtomicLong(clock.millis() * SEQUENCES_PER_MILLI);
        this.registry = LinkRegistry.create(settings);
        this.router = FrameRouter.create(settings, handlers, registry, ticker);
        this.dialer = LinkDialer.create(clientBootstrap(), ticker);
        this.server = listen();
        group.next().scheduleAtFixedRate(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to listen for peers; dials none until {@link #applyPlan} is called.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public static PeerLinks start(
            PeerSettings settings, PeerHandlers handlers, LongSupplier logOffset, Ticker ticker, Clock clock) {
        return new PeerLinks(settings, handlers, logOffset, ticker, clock);
    }

    /** Returns the port that this instance listens on. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Replaces the planned links. Links dialed under an earlier plan that are no longer planned are closed. */
    public void applyPlan(PlannedLinks planned) {
        runOnLinkThread(() -> {
            dialer.setTargets(planned.peersToDial());
            router.setFullMesh(planned.fullMesh());
            for (PeerLink link : registry.openLinks()) {
                if (link.outgoing()
                        && !dialer.isTarget(link.peer().orElseThrow().instance())) {
                    link.close("not-planned");
                }
            }
            dialer.dialDue(this::isOpen);
        });
    }

    /** Sends the total load that this instance's dispatches cause on engines to the peers of its failure domain. */
    public void sendLoad(List<EngineLoad> engines) {
        LoadDelta delta = LoadDelta.newBuilder()
                .setInstance(settings.self().instance())
                .setSequence(sequence.incrementAndGet())
                .addAllEngines(engines)
                .build();
        runOnLinkThread(() -> router.sendLoad(delta));
    }

    /** Sends the digest of this failure domain to the peers in the others. */
    public void sendDigest(DomainDigest digest) {
        Frame frame = Frame.newBuilder().setDomainDigest(digest).build();
        runOnLinkThread(
                () -> registry.openLinks(false).forEach(link -> link.send(FramePriority.LOAD, "digest", frame)));
    }

    /** Sends a report on a request that crashed backend servers to all peers. */
    public void sendSuspect(String fingerprint, SuspectState state, long remainingMillis, String detail) {
        SuspectReport report = SuspectReport.newBuilder()
                .setInstance(settings.self().instance())
                .setSequence(sequence.incrementAndGet())
                .setFingerprint(fingerprint)
                .setState(state)
                .setRemainingMillis(remainingMillis)
                .setDetail(ByteString.copyFromUtf8(detail))
                .build();
        runOnLinkThread(() -> router.sendSuspect(report));
    }

    /** Notifies all peers that this instance is leaving. */
    public void sendLeaving() {
        Leaving leaving = Leaving.newBuilder()
                .setInstance(settings.self().instance())
                .setSequence(sequence.incrementAndGet())
                .build();
        runOnLinkThread(() -> router.sendLeaving(leaving));
    }

    /** Sends log records to a peer that is cut off from the platform. */
    public void sendRecords(String instance, List<StoredRecord> records) {
        List<Frame> frames = PeerFrames.recordFrames(records);
        runOnLinkThread(() -> registry.linkTo(instance)
                .ifPresent(link -> frames.forEach(frame -> {
                    link.send(FramePriority.RECORDS, Long.toString(sequence.incrementAndGet()), frame);
                })));
    }

    /**
     * Requests records from an offset on, or a snapshot. A peer that no longer has the records responds with a
     * snapshot.
     */
    public void requestState(String instance, long fromOffset, boolean snapshot) {
        runOnLinkThread(() -> registry.linkTo(instance).ifPresent(link -> {
            link.snapshotAssembler().expectSnapshot();
            link.send(FramePriority.HEARTBEAT, "state-request", PeerFrames.stateRequest(fromOffset, snapshot));
        }));
    }

    /** Sends a snapshot to a peer that requested one, unless an earlier one is still queued for it. */
    public void sendSnapshot(String instance, PeerSnapshot snapshot) {
        List<Frame> frames = PeerFrames.snapshotFrames(snapshot);
        runOnLinkThread(() -> registry.linkTo(instance)
                .filter(link -> !link.hasWaiting(FramePriority.STATE))
                .ifPresent(link -> frames.forEach(frame -> link.send(
                        FramePriority.STATE,
                        Integer.toString(frame.getStateReply().getIndex()),
                        frame))));
    }

    /** Returns the peers that sent a frame, including those that became unreachable recently. */
    public List<PeerView> peers() {
        return table.peers();
    }

    /** Returns the number of bytes sent on all links so far, without TCP and lower-layer headers. */
    public long sentBytes() {
        return traffic.sentBytes();
    }

    /** Returns the number of bytes received on all links so far, without TCP and lower-layer headers. */
    public long receivedBytes() {
        return traffic.receivedBytes();
    }

    /** Sends as many queued frames as possible, closes all links and the socket and waits for the thread to end. */
    @Override
    public void close() {
        runOnLinkThread(() -> {
            server.close();
            registry.connections().forEach(PeerLink::flush);
            registry.connections().forEach(link -> link.close("shutdown"));
        });
        EventLoop loop = group.next();
        var ended = group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (!loop.inEventLoop()) {
            ended.awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        }
    }

    /** Performs the periodic checks; the future completes after they have run. Package-private for tests. */
    CompletableFuture<Void> tick() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        runOnLinkThread(() -> {
            registry.connections().forEach(PeerLink::closeIfHelloOverdue);
            registry.openLinks().forEach(this::sendDueFrames);
            for (PeerIdentity silent : table.markSilentPeers(ticker.nanos())) {
                registry.linkTo(silent.instance()).ifPresent(link -> link.close("silent"));
                router.reportReachability(silent, false);
            }
            dialer.dialDue(this::isOpen);
            done.complete(null);
        });
        return done;
    }

    /** Sends a heartbeat if one is due and the queued frames that the refilled budget permits. */
    private void sendDueFrames(PeerLink link) {
        if (link.scheduleNextHeartbeatIfDue(settings.heartbeatMillis(link.peer().orElseThrow()))) {
            Frame frame = PeerFrames.heartbeat(logOffset.getAsLong(), sequence.incrementAndGet());
            link.send(FramePriority.HEARTBEAT, "heartbeat", frame);
        }
        link.flush();
    }

    private boolean isOpen(String instance) {
        return registry.linkTo(instance).isPresent();
    }

    /** Records that a frame arrived from a peer, with its log offset if the frame states one. */
    private void recordContact(PeerIdentity peer, Optional<Long> offset) {
        Deadline silentAfter = Deadline.afterMillis(ticker.nanos(), settings.silenceMillis(peer));
        if (table.recordContact(peer, offset, silentAfter)) {
            router.reportReachability(peer, true);
        }
    }

    /** Runs an action on the link thread; does nothing after the links were closed. */
    private void runOnLinkThread(Runnable action) {
        try {
            group.next().execute(action);
        } catch (RejectedExecutionException e) {
            log.log(Level.DEBUG, "event=peer_links_closed");
        }
    }

    private Bootstrap clientBootstrap() {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(channelInitializer(true));
    }

    private Channel listen() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(channelInitializer(false));
        var bound = bootstrap.bind(settings.bindHost(), settings.bindPort()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            throw new IllegalStateException(
                    "cannot listen for peers on " + settings.bindHost() + ":" + settings.bindPort()
                            + "; choose a free port of this machine",
                    bound.cause());
        }
        return bound.channel();
    }

    /** Returns the initializer of outgoing or accepted connections. */
    private ChannelInitializer<Channel> channelInitializer(boolean dialed) {
        LinkListener listener = new LinkEvents();
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                PeerLink link = PeerLink.create(listener, ticker, dialed, settings.bulkBytesPerSecond());
                if (registry.add(link)) {
                    channel.pipeline().addLast(traffic);
                    FramePipeline.install(channel, link);
                } else {
                    channel.close();
                }
            }
        };
    }

    /** Passes the events of links on to the registry, the table and the router. */
    private final class LinkEvents implements LinkListener {
        @Override
        public Frame helloFrame() {
            return PeerFrames.hello(settings.self(), logOffset.getAsLong());
        }

        @Override
        public boolean onHello(PeerLink link, long peerLogOffset) {
            if (!registry.registerOpen(link)) {
                return false;
            }
            recordContact(link.peer().orElseThrow(), Optional.of(peerLogOffset));
            router.sendRecentSuspects(link);
            return true;
        }

        @Override
        public void onFrame(PeerLink link, Frame frame) {
            PeerIdentity peer = link.peer().orElseThrow();
            if (frame.hasHeartbeat()) {
                recordContact(peer, Optional.of(frame.getHeartbeat().getLogOffset()));
                dialer.resetBackoff(peer.instance());
            } else {
                recordContact(peer, Optional.empty());
                router.route(link, frame);
            }
        }

        @Override
        public void onClosed(PeerLink link) {
            registry.remove(link);
            if (!link.wasConnected()) {
                return;
            }
            Event.named("peer_link_closed")
                    .with("peer", link.peer().map(PeerIdentity::instance).orElse("unknown"))
                    .with("reason", link.closeReason().orElse("peer"))
                    .log(log, link.closeReason().orElse("").startsWith("bad-frame") ? Level.WARNING : Level.INFO);
        }
    }
}
