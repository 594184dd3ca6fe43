package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.EngineReport;
import org.verbenatray.placement.PrefixCacheIndex;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * Polls engines for their load and for changes of their prefix cache, sends their reports to the other
 * instances, and applies the reports that those send.
 */
public final class LoadPoller {
    /** The time between two looks for engines while there are none. */
    private static final long NO_ENGINES_MILLIS = 1_000;

    /** The longest time that a poll takes, which is the timeout of its two requests, in milliseconds. */
    private static final long MAX_POLL_MILLIS = 2 * PollRequest.RESPONSE_TIMEOUT_MILLIS;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * The most new connections that are tried at a time in doubt, as many as prove a partition. Each costs its engine
     * time in which it accepts no request.
     */
    private static final int MAX_TRIALS = 3;

    /** The failures of a poll that show that requests should not be sent to the engine. */
    private static final Set<ServerFailure.Kind> UNUSABLE =
            Set.of(ServerFailure.Kind.NOT_CONNECTED, ServerFailure.Kind.TIMED_OUT, ServerFailure.Kind.BAD_RESPONSE);

    private static final Logger log = System.getLogger(LoadPoller.class.getName());

    private final HttpTransport transport;
    private final XnioIoThread thread;
    private final Ticker ticker;
    private final RelayDialect dialect;
    private final BackendDirectory directory;
    private final PrefixCacheIndex prefixCacheIndex;
    private final ServerStatements statements;

    private final ReachListener reach;

    private final PollSchedule schedule;

    private final ServerTraffic traffic;

    /** Until when at most each engine is being polled, by boot id. */
    private final Map<String, Deadline> openPolls = new HashMap<>();

    /** The boot ids of the engines that count as unreachable only because other instances did not reach them. */
    private final Set<String> unreachableForAll = new HashSet<>();

    /** The new connections that are being tried. */
    private int openTrials;

    /** Receives what engines report to this instance, for the others. */
    private final Consumer<EngineReport> onReport;

    private LoadPoller(
            HttpTransport transport,
            RelayDialect dialect,
            BackendDirectory directory,
            PrefixCacheIndex prefixMemory,
            ServerStatements statements,
            ReachListener reach,
            Sharing sharing,
            ServerTraffic traffic) {
        this.transport = transport;
        this.thread = transport.anyThread();
        this.ticker = transport.ticker();
        this.dialect = dialect;
        this.directory = directory;
        this.prefixCacheIndex = prefixMemory;
        this.statements = statements;
        this.reach = reach;
        this.schedule = new PollSchedule(sharing.place(), sharing.groupSize());
        this.onReport = sharing.onReport();
        this.traffic = traffic;
    }

    /** Creates a poller that runs on the one I/O thread of the transport. */
    public static LoadPoller create(
            HttpTransport transport,
            RelayDialect dialect,
            BackendDirectory directory,
            PrefixCacheIndex prefixMemory,
            ServerStatements statements,
            ReachListener reach,
            Sharing sharing,
            ServerTraffic traffic) {
        return new LoadPoller(transport, dialect, directory, prefixMemory, statements, reach, sharing, traffic);
    }

    /** Polls the engines that are due, if any, and returns the delay in milliseconds until the next look. */
    public long pollNext() {
        List<Backend> engines = directory.all().stream()
                .filter(backend -> !backend.leaving() && backend.entry().stage() != BackendStage.PLAIN)
                .filter(backend -> backend.turnedAwayMillis(ticker.nanos()) <= 0)
                .toList();
        if (engines.isEmpty()) {
            return NO_ENGINES_MILLIS;
        }
        schedule.retain(engines);
        engines.forEach(this::markIfUnreachableForAll);
        openPolls.values().removeIf(until -> until.hasPassed(ticker.nanos()));
        List<Backend> idle = engines.stream()
                .filter(engine -> !openPolls.containsKey(engine.entry().bootId()))
                .toList();
        boolean doubtful = reach.suspectsNewConnections();
        schedule.due(idle, doubtful, ticker.nanos()).forEach(due -> poll(due, doubtful));
        return schedule.waitMillis(idle, doubtful, ticker.nanos());
    }

    /**
     * Applies what another instance has told of an engine. An engine that answers another one counts as reachable, but
     * for those that failed here while it is doubtful whether this instance reaches any: it polls them itself.
     */
    public void onPeerReport(String instance, EngineReport report) {
        Optional<Backend> engine = directory.findBoot(report.boot());
        if (engine.isEmpty()) {
            return;
        }
        if (!report.answered()) {
            recordPeerFailure(engine.get(), instance);
            return;
        }
        long reportedNanos = ticker.nanos() - report.agoMillis() * NANOS_PER_MILLI;
        if (unreachableForAll.remove(report.boot()) || !reach.suspectsNewConnections()) {
            engine.get().markReachable();
        }
        schedule.recordAnswer(engine.get(), instance, reportedNanos);
        report.load().ifPresent(load -> engine.get().updateLoad(load, reportedNanos));
        report.changes().ifPresent(changes -> prefixCacheIndex.applyPeerChanges(report.boot(), changes));
    }

    private void recordPeerFailure(Backend engine, String instance) {
        String boot = engine.entry().bootId();
        schedule.recordFailure(boot, instance, ticker.nanos());
        markIfUnreachableForAll(engine);
    }

    private void markIfUnreachableForAll(Backend engine) {
        String boot = engine.entry().bootId();
        if (!engine.unreachable() && schedule.isUnreachableForAll(boot, ticker.nanos())) {
            unreachableForAll.add(boot);
            engine.markUnreachable();
        }
    }

    /** Requests the load of an engine, and then the changes of its prefix cache on the same connection. */
    private void poll(PollSchedule.DuePoll due, boolean doubtful) {
        Backend engine = due.engine();
        String boot = engine.entry().bootId();
        traffic.recordPoll(due.cause());
        schedule.recordPolled(boot, ticker.nanos());
        openPolls.put(boot, Deadline.afterMillis(ticker.nanos(), MAX_POLL_MILLIS));
        send(
                engine,
                dialect.load(engine),
                response -> {
                    recordPollAnswer(engine);
                    if (engine.turnedAwayMillis(ticker.nanos()) <= 0) {
                        requestCacheChanges(engine, doubtful);
                    } else {
                        openPolls.remove(boot);
                    }
                    if (response.status() == 200) {
                        dialect.load(response.body()).ifPresent(load -> applyLoad(engine, load));
                    }
                },
                () -> recordSilence(engine),
                (failure, late) -> {
                    openPolls.remove(boot);
                    recordPollFailure(engine, failure, late);
                });
    }

    private void applyLoad(Backend engine, BackendLoad load) {
        engine.updateLoad(load, ticker.nanos());
        onReport.accept(EngineReport.ofLoad(engine.entry().bootId(), load));
    }

    /**
     * Requests the changes of the prefix cache since the last known position; a few of these requests use new
     * connections while it is doubtful whether any can be opened.
     */
    private void requestCacheChanges(Backend engine, boolean doubtful) {
        String boot = engine.entry().bootId();
        HttpCall call = dialect.cacheChanges(engine, prefixCacheIndex.nextChangeNumber(boot));
        if (doubtful && openTrials < MAX_TRIALS) {
            requestOnNewConnection(engine, call);
            return;
        }
        send(
                engine,
                call,
                response -> {
                    openPolls.remove(boot);
                    recordPollAnswer(engine);
                    applyCacheChanges(boot, response);
                },
                () -> recordSilence(engine),
                (failure, late) -> {
                    openPolls.remove(boot);
                    recordPollFailure(engine, failure, late);
                });
    }

    private void requestOnNewConnection(Backend engine, HttpCall call) {
        String boot = engine.entry().bootId();
        openTrials++;
        send(
                engine,
                call.onNewConnection(),
                response -> {
                    endTrial(boot);
                    reach.onConnected();
                    recordAnswer(engine);
                    applyCacheChanges(boot, response);
                },
                () -> {},
                (failure, late) -> {
                    endTrial(boot);
                    if (failure instanceof ServerFailure known && known.kind() == ServerFailure.Kind.NOT_CONNECTED) {
                        reach.onNotConnected(engine);
                    }
                });
    }

    private void endTrial(String boot) {
        openPolls.remove(boot);
        openTrials--;
    }

    private void applyCacheChanges(String boot, BufferedResponse response) {
        if (response.status() == 200) {
            dialect.cacheChanges(response.body()).ifPresent(changes -> {
                prefixCacheIndex.applyChanges(boot, changes);
                onReport.accept(EngineReport.ofChanges(boot, changes));
            });
        }
    }

    private void send(
            Backend engine,
            HttpCall call,
            Consumer<BufferedResponse> onResponse,
            Runnable onLate,
            PollRequest.FailureListener onFailure) {
        PollRequest.send(
                transport,
                thread,
                call,
                new PollRequest.Listener(
                        onLate,
                        response -> {
                            statements.recordStatusAnswer(engine, response);
                            onResponse.accept(response);
                            if (response.status() != 200) {
                                logUnknownState(engine, call, response.status());
                            }
                        },
                        (failure, late) -> {
                            onFailure.onFailure(failure, late);
                            traffic.recordPollFailure(failure);
                            logUnknownState(engine, call, failure.getMessage());
                        }));
    }

    private static void logUnknownState(Backend engine, HttpCall call, Object why) {
        Event.named("engine_state_unknown")
                .with("backend", engine.entry().id())
                .with("asked", call.path())
                .with("why", why)
                .log(log, Level.DEBUG);
    }

    /** Records a response to a request on a connection of the pool. */
    private void recordPollAnswer(Backend engine) {
        unreachableForAll.remove(engine.entry().bootId());
        engine.markReachable();
        recordAnswer(engine);
    }

    private void recordAnswer(Backend engine) {
        schedule.recordOwnAnswer(engine.entry().bootId(), ticker.nanos());
        engine.recordAnswer(ticker.nanos());
        reach.onPoll(engine, true);
    }

    /** Records a failure. A connection reset leaves it open whether the engine is reachable. */
    private void recordPollFailure(Backend engine, Throwable failure, boolean late) {
        if (isUnreachable(failure) && !late) {
            recordSilence(engine);
        } else if (!late) {
            reach.onPoll(engine, false);
        }
    }

    /** Records that an engine is out of reach, and tells the others. */
    private void recordSilence(Backend engine) {
        String boot = engine.entry().bootId();
        unreachableForAll.remove(boot);
        engine.markUnreachable();
        schedule.recordOwnFailure(boot, ticker.nanos());
        reach.onPoll(engine, false);
        onReport.accept(EngineReport.unanswered(boot));
    }

    /** Returns whether a failure shows that an engine is out of reach; one that resets a connection is not. */
    private static boolean isUnreachable(Throwable failure) {
        return failure instanceof ServerFailure known && UNUSABLE.contains(known.kind());
    }

    /**
     * How instances share the polls.
     *
     * @param place returns the place of this instance in the order in which instances poll an engine, by its boot id
     * @param groupSize returns the number of other instances that share the polls
     * @param onReport receives what engines report to this instance, for the others
     */
    public record Sharing(ToIntFunction<String> place, IntSupplier groupSize, Consumer<EngineReport> onReport) {}
}
