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
import org.verbenatray.fleet.InstanceListEntry;
import org.verbenatray.peers.PeerIdentity;
import org.verbenatray.servers.HttpInstanceList;
import org.verbenatray.servers.HttpLogService;
import org.verbenatray.serving.EntryServer;
import org.verbenatray.settings.EntrySettings;
import org.verbenatray.telemetry.Event;
import org.verbenatray.telemetry.StateDump;

/** One entry instance: its parts, wired and started. */
public final class EntryInstance implements AutoCloseable {
    /** The logger. */
    private static final Logger log = System.getLogger(EntryInstance.class.getName());

    /** The longest time that a leaving instance waits for its requests, in milliseconds. */
    private static final long DRAIN_MILLIS = 24 * 60 * 60 * 1000L;

    /** The longest time that a leaving instance waits for its calls and its lease to be settled, in milliseconds. */
    private static final long SETTLE_MILLIS = 5_000;

    /** The pause between two looks at what is to be settled, in milliseconds. */
    private static final long SETTLE_LOOK_MILLIS = 20;

    /** The time between two tokens that callers are promised in milliseconds. */
    private static final long TOKEN_MILLIS = 26;

    /** What everything runs on. */
    private final InstanceRuntime runtime;

    /** The parts around the log. */
    private final LogParts logParts;

    /** The platform's instance list. */
    private final Membership membership;

    /** The engines. */
    private final FleetParts fleet;

    /** The roles of the engines of the own failure domain. */
    private final RoleControl roles;

    /** What serves callers. */
    private final ServingWiring serving;

    /** The links to other instances. */
    private final PeerControl peers;

    /** The HTTP servers. */
    private final EntryServer server;

    /** The configuration that all parts have taken over. */
    private volatile ActiveConfiguration inForce = ActiveConfiguration.none();

    /** Whether this instance was closed. */
    private final AtomicBoolean closed = new AtomicBoolean();

    /** Creates and starts an instance. */
    private EntryInstance(EntrySettings settings) throws IOException {
        this.runtime = InstanceRuntime.start(settings);
        this.membership = new Membership(
                HttpInstanceList.create(runtime.transport(), settings.platform()), this::self, runtime.timing());
        this.logParts = LogParts.create(
                runtime.id(),
                HttpLogService.create(runtime.transport(), settings.platform()),
                membership::liveInstances,
                runtime.timing());
        this.fleet = FleetParts.create(runtime, () -> active().fleet(), () -> active().offset());
        OrderParts orders = OrderParts.create(runtime, logParts, membership);
        this.roles = new RoleControl(orders, fleet.view(), runtime.timing(), runtime.metrics());
        this.serving = new ServingWiring(runtime, logParts, fleet, membership, this::active, this::arrived);
        this.peers = new PeerControl(
                new PeerIdentity(runtime.id(), settings.failureDomain()),
                settings.peers(),
                logParts,
                fleet.view(),
                fleet.suspects(),
                runtime.timing());
        this.server = EntryServer.start(
                settings, runtime.worker(), serving.parts(), runtime.metrics(), dump(), this::isReady);
        startWork();
    }

    /** Returns a started instance. */
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

    /** Returns whether this instance takes requests. */
    public boolean isReady() {
        return !serving.open().isLeaving() && active().offset() >= 0;
    }

    /** Returns the configuration in force. */
    public ActiveConfiguration active() {
        return inForce;
    }

    /** Returns the number of requests without a final answer. */
    public int openRequests() {
        return serving.open().count();
    }

    /** Returns the number of peers that were heard lately. */
    public int reachablePeers() {
        return (int) peers.peers().stream().filter(peer -> peer.reachable()).count();
    }

    /** Returns the metrics in Prometheus' text format. */
    public String metricsText() {
        return runtime.metrics().text();
    }

    /** Takes nothing new, waits for the open requests and stops. */
    public void drainAndClose() {
        Event.named("instance_leaving")
                .with("instance", runtime.id())
                .with("open", openRequests())
                .log(log, Level.INFO);
        var drained = serving.open().leave();
        roles.leave();
        peers.leave();
        membership.announceNow();
        try {
            drained.get(DRAIN_MILLIS, TimeUnit.MILLISECONDS);
            awaitSettled();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (TimeoutException | ExecutionException e) {
            Event.named("drain_incomplete")
                    .with("instance", runtime.id())
                    .with("open", openRequests())
                    .log(log, Level.WARNING);
        }
        membership.withdraw();
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

    /** Waits until calls and the lease are settled in the log, or for a bounded time when the log is out of reach. */
    private void awaitSettled() throws InterruptedException {
        long looks = SETTLE_MILLIS / SETTLE_LOOK_MILLIS;
        for (long look = 0; look < looks && !isSettled(); look++) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_LOOK_MILLIS);
        }
    }

    /** Returns whether the log holds all that it has to know of this instance. */
    private boolean isSettled() {
        return serving.unsettledCalls() == 0 && roles.hasLeft();
    }

    /** Returns the state dump. */
    private StateDump dump() {
        return StateDump.create()
                .section("instance", runtime::settings)
                .section("configuration", this::active)
                .section("log", () -> logParts.fold().position())
                .section("log_reachable", logParts::isReachable)
                .section("open_requests", this::openRequests)
                .section("waiting_requests", serving::waiting)
                .section("unsettled_calls", serving::unsettledCalls)
                .section("engines", () -> fleet.view().views(runtime.nanos()))
                .section("engine_incarnations", this::engineIncarnations)
                .section("instances", membership::entries)
                .section("peers", () -> peers.peers())
                .section(
                        "lease",
                        () -> logParts.fold()
                                .read(() -> logParts.leases()
                                        .lease(runtime.settings().failureDomain())))
                .section("suspects", fleet.suspects()::entries)
                .section("role_changes", roles::decisions);
    }

    /** Returns the last known incarnation of each known engine, by which its crashes are told apart. */
    private SortedMap<String, Long> engineIncarnations() {
        SortedMap<String, Long> incarnations = new TreeMap<>();
        for (EngineView engine : fleet.view().views(runtime.nanos())) {
            incarnations.put(engine.name(), fleet.view().incarnation(engine.name()));
        }
        return incarnations;
    }

    /** Starts to follow the log, the instance list, the engines and the peers. */
    private void startWork() {
        logParts.follower().onApplied(applied -> configurationChanged());
        logParts.follower().onLeap(position -> configurationChanged());
        membership.onList(entries -> fleet.view().onInstanceList(enginesOf(entries)));
        membership.onList(entries -> serving.onInstances(membership.liveInstances()));
        membership.onList(entries -> serving.servers().leaving(leavingServices(entries)));
        membership.onList(peers::onInstanceList);
        peers.start(runtime.settings().knownPeers());
        logParts.start();
        membership.start();
        roles.start();
        serving.start();
        fleet.poller().start();
    }

    /** Lets all parts take the accepted configuration over before requests are checked by it. */
    private void configurationChanged() {
        ActiveConfiguration accepted =
                logParts.fold().read(() -> logParts.configuration().active());
        if (accepted.offset() == inForce.offset()) {
            return;
        }
        fleet.view().onConfiguration(accepted.fleet());
        serving.onConfiguration(accepted);
        inForce = accepted;
        runtime.metrics().configurationOffset(accepted.offset());
        Event.named("configuration_in_force")
                .with("instance", runtime.id())
                .with("offset", accepted.offset())
                .with("hash", accepted.hash())
                .log(log, Level.INFO);
    }

    /** Counts a request for the roles; the platform's balancer gives every live instance as many. */
    private void arrived(AdmissionRequest request) {
        serving.onArrival();
        int instances = Math.max(
                1, membership.liveIn(runtime.settings().failureDomain()).size());
        long remaining = request.deadline().remainingMillis(runtime.nanos());
        long generating = request.expectedOutputTokens() * TOKEN_MILLIS;
        roles.arrived(
                instances,
                request.priority(),
                request.promptTokens(),
                request.expectedOutputTokens(),
                Math.max(0, remaining - generating));
    }

    /** Returns what this instance announces to the platform. */
    private InstanceEntry self() {
        EntrySettings settings = runtime.settings();
        int port = peers == null ? settings.peers().getPort() : peers.port();
        return new InstanceEntry(
                settings.name(),
                InstanceEntry.Kind.ENTRY,
                settings.failureDomain(),
                settings.peers().getHostString() + ":" + port,
                runtime.incarnation(),
                serving != null && serving.open().isLeaving());
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
