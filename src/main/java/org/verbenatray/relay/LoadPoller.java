package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.EngineReport;
import org.verbenatray.placement.PrefixCacheIndex;
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

    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final long RESPONSE_TIMEOUT_MILLIS = 500;

    private static final int MAX_RESPONSE_BYTES = 256 * 1024;

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
        boolean doubtful = reach.suspectsNewConnections();
        schedule.due(engines, doubtful, ticker.nanos()).forEach(poll -> {
            Backend engine = poll.engine();
            traffic.recordPoll(poll.cause());
            schedule.recordPolled(engine.entry().bootId(), ticker.nanos());
            pollLoad(engine);
            pollCacheChanges(engine);
        });
        return schedule.waitMillis(engines, doubtful, ticker.nanos());
    }

    /** Applies what an engine has reported to another instance. */
    public void onPeerReport(EngineReport report) {
        Optional<Backend> engine = directory.findBoot(report.boot());
        if (engine.isEmpty()) {
            return;
        }
        if (!report.answered()) {
            schedule.recordDoubt(report.boot(), ticker.nanos());
            return;
        }
        long reportedNanos = ticker.nanos() - report.agoMillis() * NANOS_PER_MILLI;
        schedule.recordKnown(report.boot(), reportedNanos);
        report.load().ifPresent(load -> engine.get().updateLoad(load, reportedNanos));
        report.changes().ifPresent(changes -> prefixCacheIndex.applyPeerChanges(report.boot(), changes));
    }

    private void pollLoad(Backend backend) {
        send(
                backend,
                dialect.load(backend),
                body -> dialect.load(body).ifPresent(load -> {
                    backend.updateLoad(load, ticker.nanos());
                    onReport.accept(EngineReport.ofLoad(backend.entry().bootId(), load));
                }),
                failure -> {
                    recordPoll(backend, failure);
                    if (isUnreachable(failure)) {
                        onReport.accept(EngineReport.unanswered(backend.entry().bootId()));
                    }
                });
    }

    /**
     * Requests the changes of the prefix cache since the last known position; a few of these requests use new
     * connections while it is doubtful whether any can be opened.
     */
    private void pollCacheChanges(Backend backend) {
        String boot = backend.entry().bootId();
        HttpCall call = dialect.cacheChanges(backend, prefixCacheIndex.nextChangeNumber(boot));
        boolean opensConnection = reach.suspectsNewConnections() && openTrials < MAX_TRIALS;
        openTrials += opensConnection ? 1 : 0;
        send(
                backend,
                opensConnection ? call.onNewConnection() : call,
                body -> dialect.cacheChanges(body).ifPresent(changes -> {
                    prefixCacheIndex.applyChanges(boot, changes);
                    onReport.accept(EngineReport.ofChanges(boot, changes));
                }),
                failure -> {
                    if (opensConnection) {
                        openTrials--;
                        recordNewConnection(backend, failure);
                    } else {
                        recordPoll(backend, failure);
                    }
                });
    }

    /**
     * Sends a request and passes the body of a 200 response to the handler.
     *
     * @param onDone called before it, with the failure, or with null after a response
     */
    private void send(Backend backend, HttpCall call, Consumer<byte[]> handler, Consumer<Throwable> onDone) {
        Deadline deadline = Deadline.afterMillis(ticker.nanos(), RESPONSE_TIMEOUT_MILLIS);
        transport.call(call, thread, deadline, MAX_RESPONSE_BYTES).whenComplete((response, failure) -> {
            onDone.accept(failure);
            if (failure instanceof ServerFailure known) {
                traffic.recordPollFailure(known.kind().name().toLowerCase(Locale.ROOT));
            }
            if (failure == null) {
                statements.recordStatusAnswer(backend, response);
            }
            if (failure == null && response.status() == 200) {
                handler.accept(response.body());
                return;
            }
            Event.named("engine_state_unknown")
                    .with("backend", backend.entry().id())
                    .with("asked", call.path())
                    .with("why", failure == null ? response.status() : failure.getMessage())
                    .log(log, Level.DEBUG);
        });
    }

    private void recordPoll(Backend backend, Throwable failure) {
        recordReachability(backend, failure);
        recordAnswer(backend, failure == null);
    }

    private void recordAnswer(Backend backend, boolean answered) {
        if (answered) {
            backend.recordAnswer(ticker.nanos());
        }
        reach.onPoll(backend, answered);
    }

    /** Records whether a new connection could be opened. */
    private void recordNewConnection(Backend backend, Throwable failure) {
        if (failure == null) {
            reach.onConnected();
            recordAnswer(backend, true);
        } else if (failure instanceof ServerFailure known && known.kind() == ServerFailure.Kind.NOT_CONNECTED) {
            reach.onNotConnected(backend);
        }
    }

    /** Records whether an engine is reachable. A connection reset leaves the state as it is. */
    private static void recordReachability(Backend backend, Throwable failure) {
        if (failure == null) {
            backend.markReachable();
        } else if (isUnreachable(failure)) {
            backend.markUnreachable();
        }
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
