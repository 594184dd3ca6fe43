package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import org.verbenatray.authority.LogLease;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.continuation.RecentVersions;
import org.verbenatray.continuation.StreamContinuations;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.openwork.ReportExchange;
import org.verbenatray.pace.ServerPace;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.EngineSample;
import org.verbenatray.placement.EngineView;
import org.verbenatray.placement.LeastLoadedChooser;
import org.verbenatray.placement.PrefillTimeModel;
import org.verbenatray.placement.PrefixCacheIndex;
import org.verbenatray.relay.ConnectProbe;
import org.verbenatray.relay.CrashProbe;
import org.verbenatray.relay.DestinationExplainer;
import org.verbenatray.relay.LoadPoller;
import org.verbenatray.relay.OpenCalls;
import org.verbenatray.relay.RelayContext;
import org.verbenatray.relay.RelayDialect;
import org.verbenatray.relay.RelayHandler;
import org.verbenatray.relay.RelayMetrics;
import org.verbenatray.relay.RelayServer;
import org.verbenatray.relay.ServerStatements;
import org.verbenatray.relay.ServerTraffic;
import org.verbenatray.relay.StageController;
import org.verbenatray.scheduling.FirstAttemptEstimator;
import org.verbenatray.scheduling.PromptPlacement;
import org.verbenatray.scheduling.PromptScheduler;
import org.verbenatray.scheduling.SharedPlacement;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/**
 * A relay instance: follows the routes and the list of backend servers, and relays requests until it is drained.
 * Its work runs on the one thread of its event loop.
 */
public final class RelayInstance {
    /** The time between two maintenance runs in milliseconds. */
    private static final long MAINTENANCE_INTERVAL_MILLIS = 200;

    /** The longest time for which an instance waits for the known crashes before it is ready, in milliseconds. */
    private static final long MAX_CRASHES_WAIT_MILLIS = 3_000;

    private static final Logger log = System.getLogger(RelayInstance.class.getName());

    private volatile RelayInstanceSettings settings;

    private final PlatformAdapter platform;

    private final EventLoop loop;

    private final RelayMetrics metrics;

    private final CurrentCatalog catalog;

    private final BackendDirectory directory;

    private final CutOffDetector cutOffDetector;

    private final EnginePlanner planner;

    private final CrashKnowledge crashes;

    private final RetryBudgets retryBudgets;

    private final ServerPace pace;

    private final RecentVersions recentVersions;

    private final StreamContinuations continuations;

    private final ServerLimits limits;

    private final RelayContext context;

    private final WorkSharing sharing;

    private final Duties duties;

    private final ReachingPeers reachingPeers;

    private final EngineSample engineSample;

    private final SharedPlacement placement;

    private final ServerTraffic traffic;

    private final LoadPoller loadPoller;

    private final RelayHandler handler;

    private final RelayServer server;

    /** The lease that permits orders to engines, null before the start. */
    private LogLease lease;

    private final GracefulStop stop;

    private final OpenCalls openCalls;

    /** When the instance becomes ready without the known crashes. */
    private final Deadline crashesDue;

    private RelayInstance(
            RelayInstanceSettings settings, PlatformAdapter platform, EventLoop loop, RelayMetrics metrics) {
        this.settings = settings;
        this.platform = platform;
        this.loop = loop;
        this.metrics = metrics;
        this.stop = GracefulStop.create(loop.ticker(), loop.scheduler());
        this.openCalls = OpenCalls.create(loop.ticker());
        this.catalog = CurrentCatalog.empty(loop.ticker());
        this.directory = BackendDirectory.empty(loop.ticker(), this::onBackendStarted, this::onBackendEnded);
        this.cutOffDetector = CutOffDetector.of(loop.ticker(), directory);
        this.crashesDue = Deadline.afterMillis(loop.ticker().nanos(), MAX_CRASHES_WAIT_MILLIS);
        RelayDialect dialect = platform.dialect();
        LeastLoadedChooser chooser = LeastLoadedChooser.create(
                settings.failureDomain(), () -> ThreadLocalRandom.current().nextDouble());
        PrefixCacheIndex prefixCacheIndex = PrefixCacheIndex.empty();
        this.traffic = ServerTraffic.create(metrics);
        this.sharing = new WorkSharing(
                settings,
                loop,
                directory,
                prefixCacheIndex,
                this::onAnsweredOther,
                this::onPeerReport,
                this::listenForInstances,
                traffic::recordDatagram);
        this.crashes = CrashKnowledge.create(settings, sharing, loop);
        this.retryBudgets = new RetryBudgets(() -> this.settings, sharing.fleetShare(), loop.ticker());
        this.pace = ServerPaces.create(settings, sharing, directory, loop);
        this.duties = Duties.create(settings, loop, sharing, directory, catalog);
        this.reachingPeers = createReachingPeers();
        this.engineSample = EngineSample.create(
                settings.failureDomain(), () -> ThreadLocalRandom.current().nextDouble());
        this.recentVersions = RecentVersions.create(directory, loop.ticker(), settings.leavingServerMillis());
        this.continuations = createContinuations();
        this.limits = createLimits();
        ServerStatements statements = ServerStatements.create(dialect, limits, sharing::recordLeaving, loop.ticker());
        this.planner = createPlanner(chooser, prefixCacheIndex);
        this.placement = createPlacement(chooser, prefixCacheIndex);
        this.loadPoller = createLoadPoller(dialect, statements);
        this.context = createContext(dialect, chooser, statements);
        this.handler = RelayHandler.create(context);
        this.server = startServer();
    }

    private LoadPoller createLoadPoller(RelayDialect dialect, ServerStatements statements) {
        loop.transport().setTrafficListener(traffic);
        return LoadPoller.create(
                loop.transport(),
                dialect,
                directory,
                planner.prefixCacheIndex(),
                statements,
                cutOffDetector,
                sharing.pollSharing(),
                traffic);
    }

    private RelayContext createContext(RelayDialect dialect, LeastLoadedChooser chooser, ServerStatements statements) {
        return new RelayContext(
                loop.transport(),
                loop.thread(),
                loop.ticker(),
                dialect,
                catalog,
                directory,
                chooser,
                planner,
                retryBudgets::of,
                crashes.ledger(),
                crashes.runs(),
                stop,
                openCalls,
                () -> stop.isStopping() || cutOffDetector.isCutOff(),
                metrics,
                sharing::onWorkChanged,
                FirstAttemptEstimator.create(),
                placement,
                CrashProbe.create(loop.transport(), loop.thread(), loop.ticker(), dialect, crashes.runs(), statements),
                ConnectProbe.create(
                        loop.transport(),
                        loop.thread(),
                        loop.scheduler(),
                        () -> ThreadLocalRandom.current().nextDouble()),
                continuations,
                limits,
                statements,
                cutOffDetector,
                duties::recordBegun,
                sharing.speeds()::recordOwn,
                pace,
                reachingPeers);
    }

    private RelayServer startServer() {
        DestinationExplainer explainer = DestinationExplainer.create(context, placement::schedulerOf);
        return RelayServer.start(
                loop.worker(),
                loop.ticker(),
                settings.addresses(),
                handler,
                this::isReady,
                new RelayServer.Reports(metrics::prometheusText, this::state, explainer::explain));
    }

    /** Starts an instance. */
    public static RelayInstance start(
            RelayInstanceSettings settings, PlatformAdapter platform, EventLoop loop, RelayMetrics metrics) {
        RelayInstance instance = new RelayInstance(settings, platform, loop, metrics);
        loop.thread().execute(instance::startFollowing);
        Event.named("started")
                .with("instance", settings.name())
                .with("domain", settings.failureDomain())
                .with("callers", instance.server.callersAddress())
                .log(log, Level.INFO);
        return instance;
    }

    private StreamContinuations createContinuations() {
        return StreamContinuations.create(
                recentVersions, directory, sharing::homes, sharing::send, loop.ticker(), loop.scheduler());
    }

    private ServerLimits createLimits() {
        return ServerLimits.create(
                new ServerLimits.Sender(settings.name(), System.currentTimeMillis(), sharing::send),
                sharing::limitSharers,
                sharing::peers,
                loop.ticker(),
                loop.scheduler());
    }

    private EnginePlanner createPlanner(LeastLoadedChooser chooser, PrefixCacheIndex prefixCacheIndex) {
        return EnginePlanner.create(
                loop.ticker(),
                prefixCacheIndex,
                PrefillTimeModel.untrained(),
                chooser,
                EngineView.ofEqualEngines(sharing::remoteWork)
                        .withGenerationSlowness(this::generationSlowness)
                        .withShortPromptEngines(this::shortPromptEngines),
                sharing::recordPrompt);
    }

    /** Returns the engines among which a short prompt is placed; a few random ones where work is known late. */
    private List<Backend> shortPromptEngines(List<Backend> engines) {
        return sharing.isLargeFleet() ? engineSample.draw(engines) : engines;
    }

    /** Returns the slowness of an engine; in a small fleet, where an engine serves few streams, all are equal. */
    private double generationSlowness(Backend engine) {
        return sharing.isLargeFleet() ? sharing.speeds().slowness(engine.entry().bootId()) : 1;
    }

    private ReachingPeers createReachingPeers() {
        return new ReachingPeers(
                settings.failureDomain(),
                cutOffDetector::isPartitioned,
                sharing::find,
                () -> ThreadLocalRandom.current().nextDouble(),
                loop.ticker());
    }

    private SharedPlacement createPlacement(LeastLoadedChooser chooser, PrefixCacheIndex prefixCacheIndex) {
        SharedPlacement created = SharedPlacement.create(
                sharing.placementFleet(),
                PromptPlacement.by(PromptScheduler.create(planner)),
                directory,
                view -> EnginePlanner.create(
                        loop.ticker(),
                        prefixCacheIndex,
                        PrefillTimeModel.untrained(),
                        chooser,
                        view,
                        (engine, prompt, processed) -> {}),
                loop.ticker(),
                loop.silenceScheduler());
        sharing.register(SharedPlacement::recognizes, created::receive);
        return created;
    }

    /** Returns the server for callers. */
    public RelayServer server() {
        return server;
    }

    /** Returns the thread on which the instance runs. */
    public Executor loopThread() {
        return loop.thread();
    }

    /** Returns the account of the bytes that callers and servers make the instance keep. */
    public MemoryAccount memory() {
        return loop.transport().memory();
    }

    /**
     * Returns whether the instance accepts requests: it has routes and servers, is not stopping and not cut off, and
     * knows which requests crash servers, or could not read them for some time.
     */
    public boolean isReady() {
        return !stop.isStopping()
                && catalog.get().isPresent()
                && directory.loaded()
                && (crashes.loaded() || crashesDue.hasPassed(loop.ticker().nanos()))
                && !cutOffDetector.isCutOff();
    }

    /** Applies other settings on the event loop, or none of them if the name, the domain or an address has changed. */
    public void applySettings(RelayInstanceSettings newer) {
        loop.thread().execute(() -> {
            if (!settings.canSwitchTo(newer)) {
                Event.named("settings_kept")
                        .with("why", "the name or an address has changed; restart the process")
                        .log(log, Level.WARNING);
                return;
            }
            settings = newer;
            retryBudgets.configure();
            Event.named("settings_in_force")
                    .with("retry_ratio", newer.retryRatio())
                    .with("retry_extra", newer.retryExtra())
                    .with("grace_ms", newer.graceMillis())
                    .with("leaving_ms", newer.leavingServerMillis())
                    .with("routes_ms", newer.routePropagationMillis())
                    .log(log, Level.INFO);
        });
    }

    /**
     * Drains the instance and returns when the process may end. The instance is no longer ready at once, rejects new
     * requests after a short time and waits until the open ones are answered and their answers are written. Those that
     * are open shortly before the end of the grace period are ended.
     */
    public void drain() {
        long start = loop.ticker().nanos();
        Event.named("stopping").with("instance", settings.name()).log(log, Level.INFO);
        CompletableFuture<Void> done = stop.begin(settings.graceMillis(), this::isIdle, openCalls::endAll);
        loop.thread().execute(this::deregisterAndStopLeases);
        done.join();
        Event.named("stopped")
                .with("instance", settings.name())
                .with("open", handler.counts().open())
                .with("unsent", handler.unsentResponses().count())
                .with("ends", handler.counts().ends())
                .with("ms", (loop.ticker().nanos() - start) / 1_000_000)
                .log(log, Level.INFO);
    }

    /** Deregisters from the list of instances and gives up the leases. */
    private void deregisterAndStopLeases() {
        sharing.deregister();
        duties.stop();
        if (lease != null) {
            lease.stop();
        }
    }

    /** Stops the instance at once, breaking off open requests. */
    public void close() {
        stop.markStopping();
        server.close();
        sharing.close();
        loop.close();
    }

    /** Returns whether no request is open and all responses have been written to their sockets. */
    private boolean isIdle() {
        return handler.counts().open() == 0 && handler.unsentResponses().count() == 0;
    }

    /** Starts to follow the platform's logs and to run the periodic tasks. */
    private void startFollowing() {
        FollowedLogs logs = FollowedLogs.create(() -> settings, platform, sharing, loop);
        logs.followRoutes(new RoutesListener(
                platform.routesDecoder(),
                catalog,
                this::onRoutesChanged,
                () -> settings.routePropagationMillis(),
                loop.ticker()));
        logs.followServers(new ServersListener(platform.serverDecoder(), directory, cutOffDetector, recentVersions));
        lease = logs.watchOrdersLease();
        crashes.start(logs);
        sharing.start(platform.instances(), logs.pacer(), crashes.exchange(), continuations, limits);
        limits.startConfirming();
        duties.start(platform);
        StageController stageController =
                StageController.create(context, settings.name(), lease, this::generationSlowness);
        loop.runRepeatedly(
                "maintenance", LoopLateness.measure(this::runMaintenance, loop.ticker(), metrics::recordLoopLateness));
        loop.runRepeatedly("polls", loadPoller::pollNext);
        loop.runRepeatedly("traffic", traffic::logCounts);
        loop.runRepeatedly("placed work", placement::tellWork);
        loop.runRepeatedly("stages", stageController::planStages);
    }

    /** Removes expired entries and checks whether this instance is cut off; returns the time to the next run. */
    private long runMaintenance() {
        directory.removeExpired();
        cutOffDetector.update();
        pace.beginTrials(directory.all());
        continuations.tellWhenMixed();
        crashes.maintain();
        return MAINTENANCE_INTERVAL_MILLIS;
    }

    private void onRoutesChanged(Catalog routes) {
        metrics.setCatalogVersion(routes.version());
        server.applyLimits(routes.limits());
    }

    private void onAnsweredOther(String instance, String boot, long agoMillis) {
        cutOffDetector.onAnsweredOther(boot, agoMillis);
        reachingPeers.recordAnswer(instance, agoMillis);
    }

    private void onPeerReport(ReportExchange.PeerReport told) {
        loadPoller.onPeerReport(told.instance(), told.report());
    }

    private void listenForInstances(InetSocketAddress address) {
        server.listenForInstances(address, handler::handleForwarded);
    }

    private void onBackendStarted(Backend backend) {
        pace.recordStarted(backend);
    }

    /** Removes all state of one boot of a backend server that has ended. */
    private void onBackendEnded(Backend backend) {
        String boot = backend.entry().bootId();
        loop.transport().closeIdleConnections(boot);
        planner.removeEngine(backend);
        placement.removeEngine(boot);
        sharing.speeds().remove(boot);
        pace.remove(boot);
        recentVersions.recordEnded(backend);
        limits.remove(boot);
        if (!backend.announcedLeaving()) {
            crashes.runs().recordEnd(boot);
        }
    }

    /** Reads the state of the process on its event loop. */
    public CompletableFuture<RelayInstanceState> readState() {
        CompletableFuture<RelayInstanceState> result = new CompletableFuture<>();
        loop.thread().execute(() -> result.complete(state()));
        return result;
    }

    private RelayInstanceState state() {
        return new RelayInstanceState(
                settings.name(),
                isReady(),
                catalog.get().map(Catalog::version).orElse(0L),
                catalog.get().isPresent() ? catalog.ageMillis() : 0,
                settings.graceMillis(),
                handler.counts().open(),
                handler.counts().read(),
                handler.counts().ends(),
                sharing.peerCount(),
                crashes.ledger().crashCounts(),
                RelayInstanceState.MemoryState.of(memory()),
                directory.all().stream()
                        .map(backend -> RelayInstanceState.BackendState.of(backend, limits))
                        .toList());
    }
}
