package org.verbenatray.instance;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.continuation.StreamContinuations;
import org.verbenatray.continuation.StreamHomes;
import org.verbenatray.datagrams.DatagramRouter;
import org.verbenatray.limits.LimitSharers;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.openwork.DatagramPort;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.openwork.ExchangePeers;
import org.verbenatray.openwork.FleetShare;
import org.verbenatray.openwork.InstanceRegistration;
import org.verbenatray.openwork.LeavingExchange;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.openwork.PromptPlacement;
import org.verbenatray.openwork.ReadExchange;
import org.verbenatray.openwork.RemoteWork;
import org.verbenatray.openwork.ReportExchange;
import org.verbenatray.openwork.WorkExchange;
import org.verbenatray.placement.PrefixCacheIndex;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.relay.LoadPoller;
import org.verbenatray.resilience.CrashExchange;
import org.verbenatray.scheduling.GenerationSpeeds;
import org.verbenatray.scheduling.SharedPlacement;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.telemetry.Event;

/**
 * Exchanges the open work at engines with the other instances, so that each can place requests by the work of all. Used
 * on one thread.
 */
final class WorkSharing implements AutoCloseable {
    /** The number of ports that are tried where the system chooses them. */
    private static final int MAX_CHOSEN_PORTS = 10;

    /** The number of other instances below which all instances are candidates for leases. */
    private static final int SMALL_FLEET = 12;

    /** The name of the log of instances among those whose reads are shared. */
    private static final String INSTANCES = "instances";

    private static final ReadExchange.Pace INSTANCES_PACE = ReadExchange.Pace.waiting(
            () -> InstanceRegistration.READ_MILLIS, InstanceRegistration.MIN_READ_INTERVAL_MILLIS);

    private static final Logger log = System.getLogger(WorkSharing.class.getName());

    private final RelayInstanceSettings settings;

    private final EventLoop loop;

    private final BackendDirectory directory;

    /** Receives the answers of engines to other instances. */
    private final AnswerListener onAnsweredOther;

    /** Accepts requests that other instances forward, at the address where this one receives datagrams. */
    private final Consumer<InetSocketAddress> forwardingListener;

    /** Receives the size of each datagram to another instance, in bytes. */
    private final IntConsumer onSent;

    private final ExchangePeers exchangePeers;

    private final FleetShare fleetShare;

    /** The work that the other instances reported. */
    private final RemoteWork remoteWork;

    /** The prompt prefixes that engines are expected to have cached. */
    private final PrefixCacheIndex prefixCacheIndex;

    /** Null before the start and when no port could be opened. */
    private WorkExchange exchange;

    /** The speeds at which engines generate output. */
    private final GenerationSpeeds speeds = GenerationSpeeds.create();

    private final ReportExchange reports;

    private final LeavingExchange leavingServers;

    /** The crashes that instances tell one another while the log lacks them, null before the start. */
    private CrashExchange crashExchange;

    /** Null before the start and when it could not be opened. */
    private DatagramPort port;

    /** The followers of the logs whose reads are shared, by name. */
    private final Map<String, KeyedFollower> sharedLogs = new HashMap<>();

    private final ReadExchange.Receiver sharedReads =
            ReadExchange.Receiver.create(name -> Optional.ofNullable(sharedLogs.get(name)));

    private final DatagramRouter router = DatagramRouter.create();

    /** The registration in the list of instances, null before the start and when no port could be opened. */
    private InstanceRegistration registration;

    WorkSharing(
            RelayInstanceSettings settings,
            EventLoop loop,
            BackendDirectory directory,
            PrefixCacheIndex prefixCacheIndex,
            AnswerListener onAnsweredOther,
            Consumer<ReportExchange.PeerReport> onPeerReport,
            Consumer<InetSocketAddress> forwardingListener,
            IntConsumer onSent) {
        this.settings = settings;
        this.loop = loop;
        this.directory = directory;
        this.prefixCacheIndex = prefixCacheIndex;
        this.onAnsweredOther = onAnsweredOther;
        this.forwardingListener = forwardingListener;
        this.onSent = onSent;
        this.exchangePeers = ExchangePeers.of(settings.name(), settings.failureDomain());
        this.fleetShare = FleetShare.create(loop.ticker());
        this.reports = new ReportExchange(
                settings.name(),
                exchangePeers::groupAddresses,
                this::send,
                peer -> {
                    if (peer.report().answered()) {
                        onAnsweredOther.onAnswer(
                                peer.instance(),
                                peer.report().boot(),
                                peer.report().agoMillis());
                    }
                    onPeerReport.accept(peer);
                },
                new ReportExchange.Speeds(speeds::takeUntold, speeds::record),
                loop.ticker(),
                loop.scheduler());
        this.leavingServers = LeavingExchange.create(
                directory::markLeaving, exchangePeers::selectedAddresses, this::send, loop.ticker(), loop.scheduler());
        this.remoteWork = RemoteWork.create(loop.ticker(), exchangePeers::sampleWeight);
        router.register(ReadExchange::recognizes, sharedReads::receive);
        router.register(ReportExchange::recognizes, reports::receive);
        router.register(LeavingExchange::recognizes, leavingServers::receive);
        router.register(WorkExchange::recognizes, this::receiveWork);
    }

    /**
     * Starts to exchange work and crashes with the other instances, which the given log lists. If the port cannot be
     * opened, an error is logged and the instance places requests by its own work and the load that engines report.
     */
    void start(
            KeyedLog instances,
            RetryPacer pacer,
            CrashExchange crashes,
            StreamContinuations streamContinuations,
            ServerLimits serverLimits) {
        crashExchange = crashes;
        router.register(StreamContinuations::recognizes, streamContinuations::receive);
        router.register(ServerLimits::recognizes, serverLimits::receive);
        try {
            port = openPorts();
        } catch (IOException | UncheckedIOException e) {
            Event.named("work_not_shared")
                    .with("address", settings.workExchangeAddress())
                    .with("why", e.getMessage())
                    .with("remedy", "check that no other process has the port")
                    .log(log, Level.ERROR);
            return;
        }
        InetSocketAddress address =
                new InetSocketAddress(settings.workExchangeAddress().getHostString(), port.portNumber());
        streamContinuations.setOwnAddress(address);
        exchange = WorkExchange.start(
                new WorkExchange.LocalInstance(
                        settings.name(),
                        System.currentTimeMillis(),
                        this::ownWork,
                        this::answeredAgoMillis,
                        crashes::toTell),
                exchangePeers,
                remoteWork,
                this::send,
                loop.ticker(),
                loop.scheduler());
        registration = InstanceRegistration.start(
                instances,
                settings.name(),
                new ListedInstance(address, settings.failureDomain()),
                exchangePeers,
                fleetShare,
                new InstanceRegistration.ListReads(pacer, readSharing(INSTANCES, INSTANCES_PACE)),
                loop.ticker(),
                loop.scheduler());
        shareReads(INSTANCES, registration.follower());
    }

    /**
     * Opens the port for datagrams and the one for forwarded requests, which have the same number. Where the system
     * chooses it, another process may have the second one, so that a few numbers are tried.
     */
    private DatagramPort openPorts() throws IOException {
        InetSocketAddress configured = settings.workExchangeAddress();
        int attempts = configured.getPort() == 0 ? MAX_CHOSEN_PORTS : 1;
        while (true) {
            DatagramPort datagrams = DatagramPort.open(loop.worker(), configured, router::route);
            try {
                forwardingListener.accept(new InetSocketAddress(configured.getHostString(), datagrams.portNumber()));
                return datagrams;
            } catch (UncheckedIOException e) {
                datagrams.close();
                attempts--;
                if (attempts == 0) {
                    throw e;
                }
            }
        }
    }

    /** Passes what other instances have read of a log to its follower. */
    void shareReads(String log, KeyedFollower follower) {
        sharedLogs.put(log, follower);
    }

    /** Returns how this instance shares the reads of a log with others. */
    KeyedFollower.ReadSharing readSharing(String log, ReadExchange.Pace pace) {
        return new ReadExchange(
                log, pace, () -> exchangePeers.placeInGroup(log), exchangePeers::groupAddresses, this::send);
    }

    /** Returns how this instance shares the polls of engines with others. */
    LoadPoller.Sharing pollSharing() {
        return new LoadPoller.Sharing(
                exchangePeers::placeInGroup,
                () -> exchangePeers.groupAddresses().size(),
                reports::publish);
    }

    /** Returns the speeds at which engines generate output, as this and the other instances have seen them. */
    GenerationSpeeds speeds() {
        return speeds;
    }

    /** Returns whether there are too many instances for each to know the work of all others. */
    boolean isLargeFleet() {
        return exchangePeers.sampleWeight() > 1;
    }

    /** Returns the fleet for the placement of prompts. */
    SharedPlacement.Fleet placementFleet() {
        return new PlacementFleet(settings, exchangePeers, this);
    }

    /**
     * Passes datagrams of a further kind to a receiver.
     *
     * @param recognizes returns whether a datagram is of this kind
     * @param receive processes a datagram of this kind
     */
    void register(Predicate<byte[]> recognizes, Consumer<byte[]> receive) {
        router.register(recognizes, receive);
    }

    /** Returns the addresses of the other instances of the group. */
    Collection<InetSocketAddress> groupAddresses() {
        return exchangePeers.groupAddresses();
    }

    /** Returns the addresses of all other instances. */
    Collection<InetSocketAddress> allInstances() {
        return exchangePeers.allAddresses();
    }

    /** Returns the list entry of another instance; empty if it is not listed. */
    Optional<ListedInstance> find(String instance) {
        return exchangePeers.find(instance);
    }

    /** Returns the work of the other instances at one boot of an engine. */
    EngineWork remoteWork(String boot) {
        return remoteWork.workAt(boot);
    }

    /** Returns the share of this instance in what all instances together may use in a window. */
    FleetShare fleetShare() {
        return fleetShare;
    }

    /** Returns the number of instances with which this one exchanges its work. */
    int peerCount() {
        return exchangePeers.selectedAddresses().size();
    }

    /** Records that the work of this instance at a backend server has changed. */
    void onWorkChanged(Backend backend) {
        if (exchange != null && backend.entry().stage() != BackendStage.PLAIN) {
            exchange.markChanged(backend.entry().bootId());
        }
    }

    /** Records that an engine was sent a prompt or has processed it, to be sent to the other instances. */
    void recordPrompt(Backend backend, PromptShape prompt, boolean processed) {
        if (exchange != null) {
            Map<String, Integer> tokens = new LinkedHashMap<>();
            prompt.blocks().forEach(part -> tokens.put(part.id(), part.tokens()));
            exchange.addPlacement(new PromptPlacement(backend.entry().bootId(), processed, tokens));
        }
    }

    /** Removes this instance from the list of instances. */
    void deregister() {
        if (registration != null) {
            registration.deregister();
        }
    }

    @Override
    public void close() {
        if (port != null) {
            port.close();
        }
    }

    /** Records that a start of a server has said that it is leaving, and tells the other instances. */
    void recordLeaving(String boot) {
        leavingServers.record(boot);
    }

    /** Returns the instances that keep what is known under a key, such as the origin of a stream. */
    StreamHomes homes(String key) {
        return exchangePeers.homes(key);
    }

    /**
     * Returns the place of this instance among the candidates for a lease: zero if it is one, otherwise their number.
     * In a small fleet all instances are candidates.
     */
    int placeAmongCandidates(String key, int candidates) {
        boolean isSmall = exchangePeers.allAddresses().size() < SMALL_FLEET;
        return isSmall || homes(key).includesSelf() ? 0 : candidates;
    }

    /** Returns the instances that share the rate of a server that states a limit. */
    LimitSharers limitSharers(String boot, double requestsPerSecond) {
        return exchangePeers.limitSharers(boot, requestsPerSecond);
    }

    /** Returns the addresses of the instances with which this one exchanges its work. */
    Collection<InetSocketAddress> peers() {
        return exchangePeers.selectedAddresses();
    }

    /** Sends a datagram to another instance, if a port is open. */
    void send(InetSocketAddress to, byte[] datagram) {
        if (port != null) {
            onSent.accept(datagram.length);
            port.send(to, datagram);
        }
    }

    private void receiveWork(byte[] datagram) {
        exchange.receive(datagram).ifPresent(notice -> {
            notice.placements()
                    .forEach(placement -> prefixCacheIndex.recordReported(
                            placement.bootId(), placement.processed(), placement.blockTokens()));
            notice.crashes().forEach(crashExchange::receive);
            notice.answeredAgoMillis()
                    .forEach((boot, agoMillis) -> onAnsweredOther.onAnswer(notice.instance(), boot, agoMillis));
        });
    }

    /** Returns how many milliseconds ago an engine last answered this instance; empty if it never did. */
    private OptionalLong answeredAgoMillis(String boot) {
        return directory
                .findBoot(boot)
                .map(engine -> engine.answeredAgoMillis(loop.ticker().nanos()))
                .orElse(OptionalLong.empty());
    }

    /** Returns the work of this instance by engine boot, without engines where it has none. */
    private Map<String, EngineWork> ownWork() {
        Map<String, EngineWork> work = new LinkedHashMap<>();
        for (Backend backend : directory.all()) {
            if (backend.entry().stage() != BackendStage.PLAIN
                    && !backend.openWork().equals(EngineWork.NONE)) {
                work.put(backend.entry().bootId(), backend.openWork());
            }
        }
        return work;
    }

    /** Receives answers of engines to other instances. */
    @FunctionalInterface
    interface AnswerListener {
        /** Called when an engine is known to have answered an instance the given number of milliseconds ago. */
        void onAnswer(String instance, String boot, long agoMillis);
    }
}
