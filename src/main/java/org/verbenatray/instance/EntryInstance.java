package org.verbenatray.instance;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.verbenatray.admission.AdmissionBounds;
import org.verbenatray.admission.AdmissionController;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.admission.ModelCapacity;
import org.verbenatray.admission.OutputEstimator;
import org.verbenatray.admission.RetryBudget;
import org.verbenatray.authority.LeaseKeeper;
import org.verbenatray.authority.LeaseSurroundings;
import org.verbenatray.authority.LeaseTerms;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.configuration.FleetConfiguration;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.FleetBounds;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.InstanceListEntry;
import org.verbenatray.fleet.PrefixIndex;
import org.verbenatray.once.OnceGate;
import org.verbenatray.once.OnceLimits;
import org.verbenatray.orders.EngineOrders;
import org.verbenatray.orders.OrderBounds;
import org.verbenatray.orders.OrderExecutor;
import org.verbenatray.orders.OrderPorts;
import org.verbenatray.platform.HttpInstanceList;
import org.verbenatray.platform.HttpLogService;
import org.verbenatray.platform.InstanceEntry;
import org.verbenatray.routing.CostModel;
import org.verbenatray.routing.CostRouter;
import org.verbenatray.servers.HttpEngineClient;
import org.verbenatray.servers.HttpEngineOrders;
import org.verbenatray.servers.HttpServiceClient;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.ServiceClient;
import org.verbenatray.serving.EntryServer;
import org.verbenatray.serving.OnceCalls;
import org.verbenatray.serving.OpenRequests;
import org.verbenatray.serving.QueuedAdmitter;
import org.verbenatray.serving.RelayParts;
import org.verbenatray.serving.RelaySettings;
import org.verbenatray.serving.RelayTimers;
import org.verbenatray.serving.RoutedChooser;
import org.verbenatray.serving.ServerChooser;
import org.verbenatray.serving.ServingParts;
import org.verbenatray.serving.SuspectGuard;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.suspects.SuspectLimits;
import org.verbenatray.suspects.SuspectTable;
import org.verbenatray.telemetry.Event;
import org.verbenatray.telemetry.Metrics;
import org.verbenatray.telemetry.StateDump;
import org.verbenatray.time.Scheduler;
import org.verbenatray.time.Ticker;
import org.verbenatray.time.Timing;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** One entry instance: its parts, wired and started. */
public final class EntryInstance implements AutoCloseable {
    /** The logger. */
    private static final Logger log = System.getLogger(EntryInstance.class.getName());

    /** The size of a buffer in bytes. */
    private static final int BUFFER_BYTES = 16 * 1024;

    /** The longest time that a leaving instance waits for its requests, in milliseconds. */
    private static final long DRAIN_MILLIS = 24 * 60 * 60 * 1000L;

    /** The pause between two looks at the capacity of the engines in milliseconds. */
    private static final long CAPACITY_MILLIS = 250;

    /** The time between two tokens that callers are promised in milliseconds. */
    private static final long TOKEN_MILLIS = 26;

    /** The settings. */
    private final EntrySettings settings;

    /** The threads that move bytes. */
    private final XnioWorker worker;

    /** The thread that runs what is due later. */
    private final ScheduledExecutorService executor;

    /** The sources of time. */
    private final Timing timing;

    /** The metrics. */
    private final Metrics metrics = Metrics.create();

    /** The state dump. */
    private final StateDump dump = StateDump.create();

    /** The open requests. */
    private final OpenRequests open;

    /** The parts around the log. */
    private final LogParts logParts;

    /** The platform's instance list. */
    private final Membership membership;

    /** The view of the engines. */
    private final FleetView fleet;

    /** Decides which requests run now, wait or are refused. */
    private final AdmissionController admission = AdmissionController.create(AdmissionBounds.defaults());

    /** Bounds the runs of requests after their first. */
    private final RetryBudget retries = RetryBudget.defaults();

    /** The roles of the engines of the own failure domain. */
    private final RoleControl roles;

    /** Lets calls that must not be repeated through at most once. */
    private final OnceGate once;

    /** Reads the load reports of the engines. */
    private final EnginePoller poller;

    /** The HTTP servers. */
    private final EntryServer server;

    /** When this instance was started, in milliseconds since the epoch. */
    private final long incarnation;

    /** Creates and starts an instance. */
    private EntryInstance(EntrySettings settings) throws IOException {
        this.settings = settings;
        this.worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, settings.ioThreads())
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "timer-" + settings.name());
            thread.setDaemon(true);
            return thread;
        });
        Ticker ticker = Ticker.system();
        this.timing = new Timing(ticker, Clock.systemUTC(), Scheduler.on(executor, ticker));
        this.incarnation = timing.clock().millis();
        this.open = OpenRequests.bounded(settings.maxOpenRequests(), metrics);
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
        HttpTransport transport = HttpTransport.create(worker, buffers, ticker);
        HttpInstanceList list = HttpInstanceList.create(transport, settings.platform());
        this.membership = new Membership(list, this::self, timing);
        this.logParts = LogParts.create(
                self().id(), HttpLogService.create(transport, settings.platform()), membership::liveInstances, timing);
        PrefixIndex prefixIndex = PrefixIndex.create(PrefixIndex.DEFAULT_PIECES_PER_ENGINE);
        this.fleet = FleetView.create(Set.of(settings.failureDomain()), FleetBounds.defaults(), prefixIndex);
        this.poller = new EnginePoller(transport, this::fleetConfiguration, settings.failureDomain(), fleet, timing);
        ServerChooser servers = ServerChooser.create(settings.failureDomain(), ticker);
        EngineOrders engineOrders = HttpEngineOrders.create(
                transport,
                engine -> Optional.ofNullable(fleetConfiguration().engines().get(engine))
                        .map(EngineSpec::address));
        this.roles = new RoleControl(orderParts(engineOrders), fleet, engineOrders, timing, metrics);
        this.once = OnceGate.create(
                self().id(),
                logParts.calls(),
                logParts.fold(),
                logParts.appender(),
                OnceLimits.defaults(),
                logParts::isReachable,
                membership::isGone,
                timing);
        this.server = startServer(transport, prefixIndex, servers);
        follow(servers);
    }

    /** Returns a started instance. */
    public static EntryInstance start(EntrySettings settings) throws IOException {
        EntryInstance instance = new EntryInstance(settings);
        Event.named("instance_started")
                .with("instance", settings.name())
                .with("failure_domain", settings.failureDomain())
                .with("callers", instance.callersAddress())
                .with("operators", instance.operatorsAddress())
                .log(log, Level.INFO);
        return instance;
    }

    /** Returns the base URI for callers. */
    public String callersAddress() {
        return server.callersAddress();
    }

    /** Returns the base URI for operators. */
    public String operatorsAddress() {
        return server.operatorsAddress();
    }

    /** Returns whether this instance takes requests. */
    public boolean isReady() {
        return !open.isLeaving() && active().offset() >= 0;
    }

    /** Returns the configuration in force. */
    public ActiveConfiguration active() {
        return logParts.configuration().active();
    }

    /** Returns the number of requests without a final answer. */
    public int openRequests() {
        return open.count();
    }

    /** Returns the metrics in Prometheus' text format. */
    public String metricsText() {
        return metrics.text();
    }

    /** Takes nothing new, waits for the open requests and stops. */
    public void drainAndClose() {
        Event.named("instance_leaving")
                .with("instance", settings.name())
                .with("open", open.count())
                .log(log, Level.INFO);
        var drained = open.leave();
        roles.leave();
        membership.announceNow();
        try {
            drained.get(DRAIN_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | java.util.concurrent.ExecutionException e) {
            Event.named("drain_incomplete")
                    .with("instance", settings.name())
                    .with("open", open.count())
                    .log(log, Level.WARNING);
        }
        close();
    }

    @Override
    public void close() {
        logParts.follower().stop();
        executor.shutdownNow();
        server.close();
        worker.shutdownNow();
        Event.named("instance_stopped").with("instance", settings.name()).log(log, Level.INFO);
    }

    /** Returns what orders of the own failure domain are given through. */
    private OrderParts orderParts(EngineOrders engineOrders) {
        String lease = settings.failureDomain();
        AtomicReference<OrderExecutor> executor = new AtomicReference<>();
        LeaseSurroundings surroundings = new LeaseSurroundings(
                () -> logParts.fold().read(() -> logParts.leases().lease(lease)),
                () -> membership.liveIn(lease),
                membership::isGone,
                () -> executor.get().isQuiet(timing.ticker().nanos()));
        LeaseKeeper keeper = LeaseKeeper.create(
                lease, self().id(), leaseTerms(settings.leaseTermMillis()), surroundings, logParts.appender(), timing);
        executor.set(OrderExecutor.create(new OrderPorts(
                logParts.appender(),
                engineOrders,
                keeper::authority,
                engine -> logParts.fold().read(() -> logParts.orders().journal(engine)),
                timing,
                OrderBounds.defaults())));
        return new OrderParts(
                keeper,
                executor.get(),
                () -> logParts.fold().read(() -> logParts.orders().outstanding(lease)),
                this::active);
    }

    /** Returns the times of a lease with the given term in milliseconds. */
    private static LeaseTerms leaseTerms(long termMillis) {
        return new LeaseTerms(termMillis, termMillis / 10, termMillis / 4, termMillis / 10, termMillis / 6);
    }

    /** Starts the HTTP servers. */
    private EntryServer startServer(HttpTransport transport, PrefixIndex prefixIndex, ServerChooser servers) {
        RoutedChooser chooser = chooser(prefixIndex);
        SuspectTable suspects = SuspectTable.create(self().id(), SuspectLimits.defaults());
        SuspectGuard guard = SuspectGuard.create(suspects, chooser, fleet, timing);
        RelaySettings relaySettings = new RelaySettings(
                settings.silenceMillis(),
                RelaySettings.defaults().probeMillis(),
                RelaySettings.defaults().maxRuns());
        RelayParts relay = new RelayParts(
                guard,
                HttpEngineClient.create(transport),
                relaySettings,
                RelayTimers.onThreads(timing.ticker()),
                timing.ticker(),
                retries::tryRetry,
                metrics);
        QueuedAdmitter admitter = QueuedAdmitter.create(
                admission,
                OutputEstimator.create(OutputEstimator.DEFAULT_PAIRS),
                chooser::expectation,
                this::arrived,
                timing);
        admitter.start();
        ServiceClient services = HttpServiceClient.create(transport);
        ServingParts parts = new ServingParts(
                settings.name(),
                settings.failureDomain(),
                this::active,
                open,
                admitter,
                relay,
                services,
                servers,
                OnceCalls.create(once, services, servers),
                settings.defaultTimeoutMillis());
        describe(admitter, guard);
        return EntryServer.start(settings, worker, parts, metrics, dump, this::isReady);
    }

    /** Returns what chooses engines. */
    private RoutedChooser chooser(PrefixIndex prefixIndex) {
        SplittableRandom random = new SplittableRandom(incarnation);
        CostRouter router = CostRouter.create(CostModel.defaults(), prefixIndex, this::fleetConfiguration, () -> {
            synchronized (random) {
                return random.nextLong();
            }
        });
        return RoutedChooser.create(
                router,
                fleet,
                prefixIndex,
                this::fleetConfiguration,
                poller::incarnation,
                settings.failureDomain(),
                timing.ticker());
    }

    /** Fills the state dump. */
    private void describe(QueuedAdmitter admitter, SuspectGuard guard) {
        dump.section("instance", () -> settings)
                .section("configuration", this::active)
                .section("log", () -> logParts.fold().position())
                .section("open_requests", open::count)
                .section("waiting_requests", admitter::waitingRequests)
                .section("engines", () -> fleet.views(timing.ticker().nanos()))
                .section("instances", membership::entries)
                .section(
                        "lease",
                        () -> logParts.fold().read(() -> logParts.leases().lease(settings.failureDomain())))
                .section("suspects", guard::entries)
                .section("role_changes", roles::decisions);
    }

    /** Counts a request for the roles; the platform's balancer gives every live instance as many. */
    private void arrived(AdmissionRequest request) {
        int instances = Math.max(1, membership.liveIn(settings.failureDomain()).size());
        long remaining = request.deadline().remainingMillis(timing.ticker().nanos());
        long generating = request.expectedOutputTokens() * TOKEN_MILLIS;
        roles.arrived(
                instances,
                request.priority(),
                request.promptTokens(),
                request.expectedOutputTokens(),
                Math.max(0, remaining - generating));
    }

    /** Starts to follow the log, the instance list and the engines. */
    private void follow(ServerChooser servers) {
        logParts.follower().onApplied(applied -> configurationChanged());
        logParts.follower().onLeap(position -> configurationChanged());
        logParts.follower().onApplied(once::applied);
        logParts.follower().onLeap(position -> once.recheck());
        once.start();
        membership.onList(entries -> fleet.onInstanceList(enginesOf(entries)));
        membership.onList(entries -> admission.onInstances(
                membership.liveInstances(), timing.ticker().nanos()));
        membership.onList(entries -> servers.leaving(leavingServices(entries)));
        logParts.start();
        membership.start();
        roles.start();
        watchCapacity();
        poller.start();
    }

    /** Takes the configuration in force over into the view of the fleet. */
    private void configurationChanged() {
        ActiveConfiguration present = active();
        metrics.configurationOffset(present.offset());
        fleet.onConfiguration(present.fleet());
        admission.onConfiguration(present.fleet(), timing.ticker().nanos());
    }

    /** Takes the present capacity of the engines over into admission, now and again after each pause. */
    private void watchCapacity() {
        List<EngineView> engines = fleet.views(timing.ticker().nanos());
        for (String model : fleetConfiguration().models().keySet()) {
            admission.onCapacity(
                    model, ModelCapacity.of(model, engines), timing.ticker().nanos());
        }
        timing.scheduler().runAt(timing.inMillis(CAPACITY_MILLIS), this::watchCapacity);
    }

    /** Returns the merged configuration in force. */
    private FleetConfiguration fleetConfiguration() {
        return active().fleet();
    }

    /** Returns what this instance announces to the platform. */
    private InstanceEntry self() {
        String peers = settings.peers().getHostString() + ":" + settings.peers().getPort();
        return new InstanceEntry(
                settings.name(),
                InstanceEntry.Kind.ENTRY,
                settings.failureDomain(),
                peers,
                incarnation,
                open.isLeaving());
    }

    /** Returns the engines of an instance list. */
    private static List<InstanceListEntry> enginesOf(List<InstanceEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENGINE)
                .map(entry -> new InstanceListEntry(entry.name(), entry.incarnation(), entry.leaving()))
                .toList();
    }

    /** Returns the names of leaving backend servers of plain services. */
    private static Set<String> leavingServices(List<InstanceEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.SERVICE && entry.leaving())
                .map(InstanceEntry::name)
                .collect(Collectors.toSet());
    }
}
