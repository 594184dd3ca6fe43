package org.verbenatray.instance;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.InstanceEntry;
import org.verbenatray.fleet.ListedEngine;
import org.verbenatray.peers.PeerIdentity;
import org.verbenatray.servers.HttpInstanceList;
import org.verbenatray.servers.HttpLogService;
import org.verbenatray.serving.EntryServer;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.telemetry.Event;
import org.verbenatray.telemetry.StateDump;

/**
 * An entry instance: creates, connects and starts its components, and stops them after draining.
 */
public final class EntryInstance implements AutoCloseable {
    private static final Logger log = System.getLogger(EntryInstance.class.getName());

    /** The longest time that a draining instance waits for its open requests, in milliseconds. */
    private static final long DRAIN_TIMEOUT_MILLIS = 24 * 60 * 60 * 1000L;

    /** The longest time in milliseconds that a drained instance waits until the log holds its final records. */
    private static final long SETTLE_TIMEOUT_MILLIS = 5_000;

    /** The interval of the check whether the log holds those records, in milliseconds. */
    private static final long SETTLE_POLL_MILLIS = 20;

    /** The time between two output tokens that callers are promised, in milliseconds. */
    private static final long PROMISED_TOKEN_INTERVAL_MILLIS = 26;

    private final InstanceRuntime runtime;

    private final LogParts logParts;

    private final Membership membership;

    private final FleetParts fleet;

    private final RoleController roles;

    private final ServingWiring serving;

    private final PeerExchange peers;

    private final EntryServer server;

    /** The configuration that all components have applied; requests are checked against it. */
    private volatile ActiveConfiguration inForce = ActiveConfiguration.none();

    private final AtomicBoolean closed = new AtomicBoolean();

    private EntryInstance(EntrySettings settings) throws IOException {
        this.runtime = InstanceRuntime.start(settings);
        this.membership = new Membership(
                HttpInstanceList.create(runtime.transport(), settings.platform()),
                this::instanceEntry,
                runtime.timing());
        this.logParts = LogParts.create(
                runtime.id(),
                HttpLogService.create(runtime.transport(), settings.platform()),
                membership::liveInstanceCount,
                runtime.timing());
        this.fleet = FleetParts.create(
                runtime,
                () -> activeConfiguration().fleet(),
                () -> activeConfiguration().offset());
        OrderParts orders = OrderParts.create(runtime, logParts, membership);
        this.roles = new RoleController(orders, fleet.view(), runtime.timing(), runtime.metrics());
        this.serving =
                new ServingWiring(runtime, logParts, fleet, membership, this::activeConfiguration, this::recordArrival);
        this.peers = new PeerExchange(
                new PeerIdentity(runtime.id(), settings.failureDomain()),
                settings.peers(),
                logParts,
                fleet.view(),
                fleet.suspects(),
                runtime.timing());
        this.server = EntryServer.start(
                settings, runtime.worker(), serving.context(), runtime.metrics(), createStateDump(), this::isReady);
        startComponents();
    }

    /** Starts an instance. */
    public static EntryInstance start(EntrySettings settings) throws IOException {
        EntryInstance instance = new EntryInstance(settings);
        Event.named("instance_started")
                .with("instance", instance.runtime.id())
                .with("failure_domain", settings.failureDomain())
                .with("callers", instance.callersAddress())
                .with("operators", instance.operatorsAddress())
                .with("peers", instance.peers.port())
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

    /** Returns the port for other instances. */
    public int peersPort() {
        return peers.port();
    }

    /** Returns whether this instance accepts requests: it is not leaving and has a configuration. */
    public boolean isReady() {
        return !serving.openRequests().isDraining() && activeConfiguration().offset() >= 0;
    }

    /** Returns the configuration that all components have applied. */
    public ActiveConfiguration activeConfiguration() {
        return inForce;
    }

    /** Returns the number of requests without a final response. */
    public int openRequestCount() {
        return serving.openRequests().count();
    }

    /** Returns the number of peers that are reachable now. */
    public int reachablePeerCount() {
        return (int) peers.peers().stream().filter(peer -> peer.reachable()).count();
    }

    /** Returns the metrics in the Prometheus text format. */
    public String metricsText() {
        return runtime.metrics().prometheusText();
    }

    /** Stops accepting requests, waits for the open ones, removes this instance from the instance list and stops it. */
    public void drainAndClose() {
        Event.named("instance_leaving")
                .with("instance", runtime.id())
                .with("open", openRequestCount())
                .log(log, Level.INFO);
        var drained = serving.openRequests().startDraining();
        roles.releaseLease();
        peers.announceLeaving();
        membership.announceNow();
        try {
            drained.get(DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            awaitSettled();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            Event.named("drain_incomplete")
                    .with("instance", runtime.id())
                    .with("open", openRequestCount())
                    .log(log, Level.WARNING);
        }
        membership.deregister();
        close();
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        logParts.follower().stop();
        peers.close();
        server.close();
        runtime.stop();
        Event.named("instance_stopped").with("instance", runtime.id()).log(log, Level.INFO);
    }

    /** Waits until the log holds the call outcomes and the lease release; bounded, since the log may be unreachable. */
    private void awaitSettled() throws InterruptedException {
        long polls = SETTLE_TIMEOUT_MILLIS / SETTLE_POLL_MILLIS;
        for (long poll = 0; poll < polls && !isSettled(); poll++) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_POLL_MILLIS);
        }
    }

    /** Returns whether the log holds the outcome of every call of this instance and the release of its lease. */
    private boolean isSettled() {
        return serving.unsettledCallCount() == 0 && roles.isLeaseReleased();
    }

    private StateDump createStateDump() {
        return StateDump.create()
                .addSection("instance", runtime::settings)
                .addSection("configuration", this::activeConfiguration)
                .addSection("log", () -> logParts.fold().position())
                .addSection("log_reachable", logParts::isReachable)
                .addSection("open_requests", this::openRequestCount)
                .addSection("waiting_requests", serving::waitingRequestCount)
                .addSection("unsettled_calls", serving::unsettledCallCount)
                .addSection("engines", () -> fleet.view().views(runtime.nowNanos()))
                .addSection("engine_incarnations", this::engineIncarnations)
                .addSection("instances", membership::entries)
                .addSection("peers", () -> peers.peers())
                .addSection(
                        "lease",
                        () -> logParts.fold()
                                .read(() -> logParts.leases()
                                        .lease(runtime.settings().failureDomain())))
                .addSection("suspects", fleet.suspects()::entries)
                .addSection("role_changes", roles::decisions);
    }

    /** Returns the last known incarnation of each engine; a new incarnation means that the engine was restarted. */
    private SortedMap<String, Long> engineIncarnations() {
        SortedMap<String, Long> incarnations = new TreeMap<>();
        for (EngineView engine : fleet.view().views(runtime.nowNanos())) {
            incarnations.put(engine.name(), fleet.view().incarnation(engine.name()));
        }
        return incarnations;
    }

    /** Registers the listeners and starts to follow the log, the instance list, the engines and the peers. */
    private void startComponents() {
        logParts.follower().onApplied(applied -> applyConfiguration());
        logParts.follower().onSnapshotRestored(position -> applyConfiguration());
        membership.addListener(entries -> fleet.view().onInstanceList(enginesOf(entries)));
        membership.addListener(entries -> serving.onInstances(membership.liveInstanceCount()));
        membership.addListener(entries -> serving.servers().setLeavingServers(leavingServices(entries)));
        membership.addListener(peers::onInstanceList);
        peers.start(runtime.settings().knownPeers());
        logParts.start();
        membership.start();
        roles.start();
        serving.start();
        fleet.poller().start();
    }

    /** Passes a newly accepted configuration to all components before requests are checked against it. */
    private void applyConfiguration() {
        ActiveConfiguration accepted =
                logParts.fold().read(() -> logParts.configuration().active());
        if (accepted.offset() == inForce.offset()) {
            return;
        }
        fleet.view().onConfiguration(accepted.fleet());
        serving.onConfiguration(accepted);
        inForce = accepted;
        runtime.metrics().setConfigurationOffset(accepted.offset());
        Event.named("configuration_in_force")
                .with("instance", runtime.id())
                .with("offset", accepted.offset())
                .with("hash", accepted.hash())
                .log(log, Level.INFO);
    }

    /**
     * Counts a request as demand for the planning of engine roles, once for each live instance of the failure domain,
     * because the platform's load balancer sends all of them the same share.
     */
    private void recordArrival(AdmissionRequest request) {
        serving.onFirstAttempt();
        int instances = Math.max(
                1,
                membership.liveInstancesIn(runtime.settings().failureDomain()).size());
        long remainingMillis = request.deadline().remainingMillis(runtime.nowNanos());
        long generationMillis = request.expectedOutputTokens() * PROMISED_TOKEN_INTERVAL_MILLIS;
        roles.recordArrival(
                instances,
                request.priority(),
                request.promptTokens(),
                request.expectedOutputTokens(),
                Math.max(0, remainingMillis - generationMillis));
    }

    /** Returns the entry of this instance for the instance list; also called before all fields are set. */
    private InstanceEntry instanceEntry() {
        EntrySettings settings = runtime.settings();
        int port = peers == null ? settings.peers().getPort() : peers.port();
        return new InstanceEntry(
                settings.name(),
                InstanceEntry.Kind.ENTRY,
                settings.failureDomain(),
                settings.peers().getHostString() + ":" + port,
                runtime.incarnation(),
                serving != null && serving.openRequests().isDraining());
    }

    /** Returns the engines in an instance list. */
    private static List<ListedEngine> enginesOf(List<InstanceEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.ENGINE)
                .map(entry -> new ListedEngine(entry.name(), entry.incarnation(), entry.leaving()))
                .toList();
    }

    /** Returns the names of the leaving backend servers of plain services in an instance list. */
    private static Set<String> leavingServices(List<InstanceEntry> entries) {
        return entries.stream()
                .filter(entry -> entry.kind() == InstanceEntry.Kind.SERVICE && entry.leaving())
                .map(InstanceEntry::name)
                .collect(Collectors.toSet());
    }
}
