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
 * The links of an instance to its peers: one thread, a server and the planned connections.
 *
 * <p>All methods may be called from any thread and, but for closing, do not block. What cannot be sent now waits within
 * bounds, and is replaced by newer state; nothing tells the sender whether it arrived.
 */
public final class PeerLinks implements AutoCloseable {
    /** The event lines. */
    private static final Logger log = System.getLogger(PeerLinks.class.getName());

    /** The interval of heartbeat, silence, budget and reconnect checks in milliseconds. */
    private static final int TICK_MILLIS = 100;

    /** The time for one connection attempt in milliseconds. */
    private static final int CONNECT_MILLIS = 3_000;

    /** The time for the thread to end in milliseconds. */
    private static final int SHUTDOWN_MILLIS = 2_000;

    /** The number of sequence numbers in one millisecond. */
    private static final long SEQUENCES_PER_MILLI = 1_000;

    /** The settings. */
    private final PeerSettings settings;

    /** The newest offset of the log that this instance has read. */
    private final LongSupplier logOffset;

    /** The source of time. */
    private final Ticker ticker;

    /** The thread of the links. */
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** The links. */
    private final LinkRegistry registry;

    /** Passes frames on. */
    private final FrameRouter router;

    /** Opens the planned links. */
    private final LinkDialer dialer;

    /** The peers that were heard. */
    private final PeerTable table = PeerTable.create();

    /** The sequence of the last message; starts at the wall clock, so that it grows across restarts. */
    private final AtomicLong sequence;

    /** The bytes on all links. */
    private final LinkTraffic traffic = new LinkTraffic();

    /** The listening socket. */
    private final Channel server;

    /** Creates the links and listens. */
    private PeerLinks(
            PeerSettings settings, PeerHandlers handlers, LongSupplier logOffset, Ticker ticker, Clock clock) {
        this.settings = settings;
        this.logOffset = logOffset;
        this.ticker = ticker;
        this.sequence = new AtomicLong(clock.millis() * SEQUENCES_PER_MILLI);
        this.registry = LinkRegistry.create(settings);
        this.router = FrameRouter.create(settings, handlers, registry, ticker);
        this.dialer = LinkDialer.create(client(), ticker);
        this.server = listen();
        group.next().scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to listen.
     *
     * @throws IllegalStateException when the address cannot be bound
     */
    public static PeerLinks start(
            PeerSettings settings, PeerHandlers handlers, LongSupplier logOffset, Ticker ticker, Clock clock) {
        return new PeerLinks(settings, handlers, logOffset, ticker, clock);
    }

    /** Returns the port that peers connect to. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Replaces the planned links; links that are no longer planned are closed. */
    public void connectTo(PlannedLinks planned) {
        onThread(() -> {
            dialer.plan(planned.opened());
            router.setWholeDomain(planned.wholeDomain());
            for (PeerLink link : registry.openLinks()) {
                if (link.dialed() && !dialer.plans(link.peer().orElseThrow().instance())) {
                    link.close("not-planned");
                }
            }
            dialer.dialDue(this::isOpen);
        });
    }

    /** Sends the load that own dispatches cause on engines, as totals, within the own failure domain. */
    public void sendLoad(List<EngineLoad> engines) {
        LoadDelta delta = LoadDelta.newBuilder()
                .setInstance(settings.self().instance())
                .setSequence(sequence.incrementAndGet())
                .addAllEngines(engines)
                .build();
        onThread(() -> router.sendLoad(delta));
    }

    /** Sends the digest of the own failure domain to the others. */
    public void sendDigest(DomainDigest digest) {
        Frame frame = Frame.newBuilder().setDomainDigest(digest).build();
        onThread(() -> registry.openLinks(false).forEach(link -> link.send(FramePriority.LOAD, "digest", frame)));
    }

    /** Sends what is known of a request that crashed backend servers to all peers. */
    public void sendSuspect(String fingerprint, SuspectState state, long remainingMillis, String detail) {
        SuspectReport report = SuspectReport.newBuilder()
                .setInstance(settings.self().instance())
                .setSequence(sequence.incrementAndGet())
                .setFingerprint(fingerprint)
                .setState(state)
                .setRemainingMillis(remainingMillis)
                .setDetail(ByteString.copyFromUtf8(detail))
                .build();
        onThread(() -> router.sendSuspect(report));
    }

    /** Tells all peers that this instance is leaving. */
    public void sendLeaving() {
        Leaving leaving = Leaving.newBuilder()
                .setInstance(settings.self().instance())
                .setSequence(sequence.incrementAndGet())
                .build();
        onThread(() -> router.sendLeaving(leaving));
    }

    /** Sends records of the log to a peer that is cut off from the platform. */
    public void sendRecords(String instance, List<StoredRecord> records) {
        List<Frame> frames = PeerFrames.records(records);
        onThread(() -> registry.linkTo(instance)
                .ifPresent(link -> frames.forEach(frame -> {
                    link.send(FramePriority.RECORDS, Long.toString(sequence.incrementAndGet()), frame);
                })));
    }

    /** Asks a peer for records from an offset on, or for a snapshot; it may answer either way with a snapshot. */
    public void requestState(String instance, long fromOffset, boolean snapshot) {
        onThread(() -> registry.linkTo(instance).ifPresent(link -> {
            link.assembly().expect();
            link.send(FramePriority.HEARTBEAT, "state-request", PeerFrames.stateRequest(fromOffset, snapshot));
        }));
    }

    /** Sends a snapshot to a peer that asked for one, unless one is still being sent to it. */
    public void sendSnapshot(String instance, PeerSnapshot snapshot) {
        List<Frame> frames = PeerFrames.chunks(snapshot);
        onThread(() -> registry.linkTo(instance)
                .filter(link -> !link.waits(FramePriority.STATE))
                .ifPresent(link -> frames.forEach(frame -> link.send(
                        FramePriority.STATE,
                        Integer.toString(frame.getStateReply().getIndex()),
                        frame))));
    }

    /** Returns the peers that were heard, with those that fell silent since. */
    public List<PeerView> peers() {
        return table.peers();
    }

    /** Returns the bytes that were sent on all links so far, without the headers of TCP and below. */
    public long sentBytes() {
        return traffic.sentBytes();
    }

    /** Returns the bytes that were received on all links so far, without the headers of TCP and below. */
    public long receivedBytes() {
        return traffic.receivedBytes();
    }

    /** Sends what waits as far as possible, closes all links, stops listening and waits for the thread to end. */
    @Override
    public void close() {
        onThread(() -> {
            server.close();
            registry.connections().forEach(PeerLink::flush);
            registry.connections().forEach(link -> link.close("shutdown"));
        });
        EventLoop loop = group.next();
        var ended = group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
        if (!loop.inEventLoop()) {
            ended.awaitUninterruptibly(SHUTDOWN_MILLIS);
        }
    }

    /** Does what is due: heartbeats, waiting frames, silent peers and connections. */
    CompletableFuture<Void> tick() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        onThread(() -> {
            registry.connections().forEach(PeerLink::checkHello);
            registry.openLinks().forEach(this::heartbeat);
            for (PeerIdentity silent : table.expire(ticker.nanos())) {
                registry.linkTo(silent.instance()).ifPresent(link -> link.close("silent"));
                router.reachable(silent, false);
            }
            dialer.dialDue(this::isOpen);
            done.complete(null);
        });
        return done;
    }

    /** Sends a heartbeat when it is due, and the waiting frames that the budget allows by now. */
    private void heartbeat(PeerLink link) {
        if (link.heartbeatDue(settings.heartbeatMillis(link.peer().orElseThrow()))) {
            Frame frame = PeerFrames.heartbeat(logOffset.getAsLong(), sequence.incrementAndGet());
            link.send(FramePriority.HEARTBEAT, "heartbeat", frame);
        }
        link.flush();
    }

    /** Returns whether a link to an instance is open. */
    private boolean isOpen(String instance) {
        return registry.linkTo(instance).isPresent();
    }

    /** Notes that a peer was heard. */
    private void heard(PeerIdentity peer, Optional<Long> offset) {
        Deadline silentAfter = Deadline.afterMillis(ticker.nanos(), settings.silenceMillis(peer));
        if (table.heard(peer, offset, silentAfter)) {
            router.reachable(peer, true);
        }
    }

    /** Runs an action on the thread of the links; does nothing after the end. */
    private void onThread(Runnable action) {
        try {
            group.next().execute(action);
        } catch (RejectedExecutionException e) {
            log.log(Level.DEBUG, "event=peer_links_closed");
        }
    }

    /** Returns the client side of connections. */
    private Bootstrap client() {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer(true));
    }

    /** Binds the listening socket. */
    private Channel listen() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(false));
        var bound = bootstrap.bind(settings.bindHost(), settings.bindPort()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
            throw new IllegalStateException(
                    "cannot listen for peers on " + settings.bindHost() + ":" + settings.bindPort()
                            + "; choose a free port of this machine",
                    bound.cause());
        }
        return bound.channel();
    }

    /** Returns the setup of a connection that this instance opens or accepts. */
    private ChannelInitializer<Channel> initializer(boolean dialed) {
        LinkOwner owner = new Owner();
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                PeerLink link = PeerLink.create(owner, ticker, dialed, settings.bulkBytesPerSecond());
                if (registry.add(link)) {
                    channel.pipeline().addLast(traffic);
                    FramePipeline.install(channel, link);
                } else {
                    channel.close();
                }
            }
        };
    }

    /** Connects the links with the registry, the table and the router. */
    private final class Owner implements LinkOwner {
        @Override
        public Frame hello() {
            return PeerFrames.hello(settings.self(), logOffset.getAsLong());
        }

        @Override
        public boolean opened(PeerLink link, long peerLogOffset) {
            if (!registry.open(link)) {
                return false;
            }
            heard(link.peer().orElseThrow(), Optional.of(peerLogOffset));
            router.greet(link);
            return true;
        }

        @Override
        public void received(PeerLink link, Frame frame) {
            PeerIdentity peer = link.peer().orElseThrow();
            if (frame.hasHeartbeat()) {
                heard(peer, Optional.of(frame.getHeartbeat().getLogOffset()));
                dialer.heard(peer.instance());
            } else {
                heard(peer, Optional.empty());
                router.route(link, frame);
            }
        }

        @Override
        public void closed(PeerLink link) {
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
