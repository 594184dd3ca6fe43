package org.verbenatray.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import org.verbenatray.authority.LogLease;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.catalog.Catalog;
import org.verbenatray.catalog.CurrentCatalog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.placement.EnginePlanner;
import org.verbenatray.placement.PlainChooser;
import org.verbenatray.placement.PrefixMemory;
import org.verbenatray.placement.PromptTiming;
import org.verbenatray.relay.CrashProbe;
import org.verbenatray.relay.FirstAsked;
import org.verbenatray.relay.LoadPoller;
import org.verbenatray.relay.RelayHandler;
import org.verbenatray.relay.RelayMetrics;
import org.verbenatray.relay.RelayParts;
import org.verbenatray.relay.RelayServer;
import org.verbenatray.relay.SizeShares;
import org.verbenatray.relay.StageKeeper;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.resilience.CrashNews;
import org.verbenatray.resilience.RetryBudget;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/** A relaying instance: follows the routes and the list of servers, and serves callers until it is drained. */
public final class RelayInstance {
    /** The time between two rounds of upkeep in milliseconds. */
    private static final long UPKEEP_MILLIS = 200;

    /** The time between two looks at the stages of engines in milliseconds. */
    private static final long STAGES_MILLIS = 500;

    /** The shortest time between the request to stop and the end, so that no caller comes any more, in milliseconds. */
    private static final long MIN_DRAIN_MILLIS = 2_500;

    /** The time after the request to stop in which new requests are still taken in milliseconds. */
    private static final long ACCEPT_MILLIS = 2_400;

    /** The time before the end of the grace in which the process ends on its own, in milliseconds. */
    private static final long DRAIN_RESERVE_MILLIS = 500;

    /** The time between two looks whether the process may end, in milliseconds. */
    private static final long DRAIN_LOOK_MILLIS = 50;

    /** The log. */
    private static final Logger log = System.getLogger(RelayInstance.class.getName());

    /** The settings. */
    private volatile RelaySettings settings;

    /** Where the instance learns what it works with. */
    private final RelaySources sources;

    /** The thread. */
    private final RelayLoop loop;

    /** The counters. */
    private final RelayMetrics metrics;

    /** The routes in force. */
    private final CurrentCatalog catalog;

    /** The backend servers. */
    private final BackendDirectory directory;

    /** Knows whether this instance is cut off. */
    private final Reach reach;

    /** Chooses engines. */
    private final EnginePlanner planner;

    /** The requests that crash servers. */
    private final CrashLedger crashes;

    /** The retry budgets by service. */
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /** What the relay works with. */
    private final RelayParts parts;

    /** Shares the open work at engines. */
    private final WorkSharing sharing;

    /** Asks the engines for their load. */
    private final LoadPoller loads;

    /** Receives callers. */
    private final RelayHandler handler;

    /** The servers. */
    private final RelayServer server;

    /** The lease of those who give orders to engines, null before the start. */
    private LogLease lease;

    /** Tells others of requests that crash servers, null before the start. */
    private CrashNews news;

    /** From when on new requests are refused, null before the process is told to stop. */
    private volatile Deadline refusingFrom;

    /** Whether the process is about to end. */
    private volatile boolean stopping;

    /** Creates and starts an instance. */
    private RelayInstance(RelaySettings settings, RelaySources sources, RelayLoop loop, RelayMetrics metrics) {
        this.settings = settings;
        this.sources = sources;
        this.loop = loop;
        this.metrics = metrics;
        this.catalog = CurrentCatalog.empty(loop.ticker());
        this.directory = BackendDirectory.empty(loop.ticker(), this::backendEnded);
        this.reach = Reach.of(loop.ticker(), directory);
        this.crashes = CrashLedger.create(loop.ticker(), this::crashFound);
        PlainChooser chooser = PlainChooser.create(
                settings.domain(), () -> ThreadLocalRandom.current().nextDouble());
        PrefixMemory memory = PrefixMemory.empty();
        this.sharing = new WorkSharing(settings, loop, directory, memory);
        this.planner = EnginePlanner.create(
                loop.ticker(), memory, PromptTiming.unmeasured(), chooser, sharing::others, sharing::keeps);
        this.loads = LoadPoller.create(
                loop.transport(), loop.thread(), loop.ticker(), sources.dialect(), directory, planner.memory());
        this.parts = new RelayParts(
                loop.transport(),
                loop.thread(),
                loop.ticker(),
                sources.dialect(),
                catalog,
                directory,
                chooser,
                planner,
                this::budget,
                crashes,
                () -> stopping,
                () -> stopping || reach.cutOff(),
                this::refusing,
                metrics,
                sharing::changed,
                FirstAsked.unseen(),
                SizeShares.unseen(),
                CrashProbe.create(loop.transport(), loop.thread(), loop.ticker(), sources.dialect(), crashes));
        this.handler = RelayHandler.create(parts);
        this.server = RelayServer.start(
                loop.worker(),
                settings.addresses(),
                handler,
                this::ready,
                new RelayServer.Reports(metrics::text, this::state));
    }

    /** Starts an instance. */
    public static RelayInstance start(
            RelaySettings settings, RelaySources sources, RelayLoop loop, RelayMetrics metrics) {
        RelayInstance instance = new RelayInstance(settings, sources, loop, metrics);
        loop.thread().execute(instance::follow);
        Event.named("started")
                .with("instance", settings.name())
                .with("domain", settings.domain())
                .with("callers", settings.addresses().callers())
                .log(log, Level.INFO);
        return instance;
    }

    /** Returns the server for callers. */
    public RelayServer server() {
        return server;
    }

    /** Returns whether the instance takes requests. */
    public boolean ready() {
        return !stopping && catalog.get().isPresent() && directory.known() && !reach.cutOff();
    }

    /** Goes over to other settings; a change of the name or of an address waits for the next start. */
    public void adopt(RelaySettings newer) {
        loop.thread().execute(() -> {
            if (!settings.adapts(newer)) {
                Event.named("settings_kept")
                        .with("why", "the name or an address has changed; restart the process")
                        .log(log, Level.WARNING);
                return;
            }
            settings = newer;
            budgets.values().forEach(budget -> budget.allow(newer.ownRetryRatio(), newer.retryWindowMillis()));
            Event.named("settings_in_force")
                    .with("retry_ratio", newer.retryRatio())
                    .with("grace_ms", newer.graceMillis())
                    .with("leaving_ms", newer.leavingMillis())
                    .with("routes_ms", newer.routesMillis())
                    .log(log, Level.INFO);
        });
    }

    /** Takes nothing new, finishes what is open and returns when the process may end. */
    public void drain() {
        long start = loop.ticker().nanos();
        refusingFrom = Deadline.afterMillis(start, ACCEPT_MILLIS);
        stopping = true;
        loop.thread().execute(this::leave);
        Event.named("stopping").with("instance", settings.name()).log(log, Level.INFO);
        Deadline earliest = Deadline.afterMillis(start, MIN_DRAIN_MILLIS);
        Deadline latest = Deadline.afterMillis(start, settings.graceMillis() - DRAIN_RESERVE_MILLIS);
        CompletableFuture<Void> done = new CompletableFuture<>();
        look(earliest, latest, done);
        done.join();
        Event.named("stopped")
                .with("instance", settings.name())
                .with("open", handler.open())
                .with("ms", (loop.ticker().nanos() - start) / 1_000_000)
                .log(log, Level.INFO);
    }

    /** Gives up what this instance does for others. */
    private void leave() {
        sharing.leave();
        if (lease != null) {
            lease.stop();
        }
    }

    /** Returns whether a new request would not be finished before the process ends. */
    private boolean refusing() {
        Deadline from = refusingFrom;
        return from != null && from.passed(loop.ticker().nanos());
    }

    /** Stops everything at once. */
    public void close() {
        stopping = true;
        server.close();
        sharing.close();
        loop.close();
    }

    /** Completes the future when nothing is open any more or the time is over. */
    private void look(Deadline earliest, Deadline latest, CompletableFuture<Void> done) {
        long now = loop.ticker().nanos();
        if (latest.passed(now) || earliest.passed(now) && handler.open() == 0) {
            done.complete(null);
            return;
        }
        loop.scheduler().runAt(Deadline.afterMillis(now, DRAIN_LOOK_MILLIS), () -> look(earliest, latest, done));
    }

    /** Starts to follow the routes and the servers. */
    private void follow() {
        KeyedFollower.start(
                "routes", sources.routes(), new Routes(), () -> settings.routesPace(), loop.ticker(), loop.scheduler());
        KeyedFollower.start(
                "servers",
                sources.servers(),
                new Servers(),
                () -> settings.serversPace(),
                loop.ticker(),
                loop.scheduler());
        lease = LogLease.start(
                sources.lease(), settings.name(), loop.ticker(), System::currentTimeMillis, loop.scheduler());
        news = CrashNews.start(sources.crashes(), crashes, loop.ticker(), loop.scheduler());
        sharing.start(sources.instances());
        upkeep();
        askLoads();
        keepStages(StageKeeper.create(parts, settings.name(), lease));
    }

    /** Changes the stages of engines while this instance holds the lease. */
    private void keepStages(StageKeeper keeper) {
        keeper.run();
        loop.scheduler().runAt(Deadline.afterMillis(loop.ticker().nanos(), STAGES_MILLIS), () -> keepStages(keeper));
    }

    /** Asks the engines for their load, one at a time. */
    private void askLoads() {
        long wait = loads.ask();
        loop.scheduler().runAt(Deadline.afterMillis(loop.ticker().nanos(), wait), this::askLoads);
    }

    /** Does what is due from time to time. */
    private void upkeep() {
        directory.settle();
        reach.look();
        crashes.forget();
        loop.scheduler().runAt(Deadline.afterMillis(loop.ticker().nanos(), UPKEEP_MILLIS), this::upkeep);
    }

    /** Returns the retry budget of a service. */
    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> RetryBudget.create(loop.ticker(), settings.ownRetryRatio(), settings.retryWindowMillis()));
    }

    /** Forgets a start of a server that has ended. */
    private void backendEnded(Backend backend) {
        String boot = backend.entry().boot();
        loop.transport().closeIdle(boot);
        planner.forget(backend);
        crashes.ended(boot);
    }

    /** Tells of a request that crashed a server. */
    private void crashFound(CrashLedger.Crash crash) {
        Event.named("crash_found")
                .with("fingerprint", crash.fingerprint())
                .with("backend", crash.boot())
                .log(log, Level.WARNING);
        news.tell(crash);
    }

    /** Returns the state of the process, read on its thread. */
    public CompletableFuture<State> inspect() {
        CompletableFuture<State> result = new CompletableFuture<>();
        loop.thread().execute(() -> result.complete(state()));
        return result;
    }

    /** Returns the state of the process. */
    private State state() {
        return new State(
                settings.name(),
                ready(),
                catalog.get().map(Catalog::version).orElse(0L),
                catalog.get().isPresent() ? catalog.ageMillis() : 0,
                settings.graceMillis(),
                handler.open(),
                directory.all().stream().map(RelayInstance::stateOf).toList());
    }

    /** Returns the state of a backend server. */
    private static BackendState stateOf(Backend backend) {
        return new BackendState(
                backend.entry().boot(),
                backend.entry().service(),
                backend.entry().stage().name(),
                backend.leaving(),
                backend.open(),
                backend.failureShare());
    }

    /** Takes the routes. */
    private final class Routes implements KeyedFollower.Listener {
        @Override
        public void replaced(List<KeyedLog.Entry> entries) {
            entries.forEach(this::changed);
        }

        @Override
        public void changed(KeyedLog.Entry entry) {
            Optional<Catalog> decoded = sources.routesOf().apply(entry);
            if (decoded.isPresent() && catalog.offer(decoded.get())) {
                metrics.catalogVersion(decoded.get().version());
                Event.named("routes_in_force")
                        .with("version", decoded.get().version())
                        .with("routes", decoded.get().routeCount())
                        .log(log, Level.INFO);
            }
        }
    }

    /** Takes the list of servers. */
    private final class Servers implements KeyedFollower.Listener {
        @Override
        public void replaced(List<KeyedLog.Entry> entries) {
            directory.replace(entries.stream()
                    .map(sources.serverOf())
                    .flatMap(Optional::stream)
                    .toList());
        }

        @Override
        public void changed(KeyedLog.Entry entry) {
            if (entry.value().isEmpty()) {
                directory.vanished(entry.key());
            } else {
                sources.serverOf().apply(entry).ifPresent(directory::put);
            }
        }

        @Override
        public void current() {
            reach.listRead();
        }

        @Override
        public void unreachable() {
            directory.listUnreachable();
            reach.listLost();
        }
    }

    /**
     * The state of the process.
     *
     * @param instance the name
     * @param ready whether it takes requests
     * @param routesVersion the version of the routes, zero for none
     * @param routesAgeMillis how long they are in force in milliseconds
     * @param graceMillis the time that it takes to stop at most, in milliseconds
     * @param openRequests the requests without a final answer
     * @param backends the servers
     */
    public record State(
            String instance,
            boolean ready,
            long routesVersion,
            long routesAgeMillis,
            long graceMillis,
            int openRequests,
            List<BackendState> backends) {}

    /**
     * The state of a backend server.
     *
     * @param boot its name and start
     * @param service the service
     * @param stage what it does
     * @param leaving whether it takes no new requests
     * @param open the requests of this instance that it works on
     * @param failureShare the moving average of failed answers
     */
    public record BackendState(
            String boot, String service, String stage, boolean leaving, int open, double failureShare) {}
}
