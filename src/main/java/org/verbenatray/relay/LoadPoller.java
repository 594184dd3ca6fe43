package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.placement.PrefixCacheIndex;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * Polls the engines, one at a time, for their load and for changes of their prefix cache. The poll rate is bounded
 * whatever the number of engines.
 */
public final class LoadPoller {
    /** Interval in which each engine is polled once while there are few engines. */
    private static final long ROUND_INTERVAL_MILLIS = 1_000;

    /** Minimum interval between two polls, however many engines there are. */
    private static final long MIN_POLL_INTERVAL_MILLIS = 60;

    private static final long RESPONSE_TIMEOUT_MILLIS = 500;

    private static final int MAX_RESPONSE_BYTES = 256 * 1024;

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

    /** Index of the engine polled last. */
    private int lastIndex;

    private LoadPoller(
            HttpTransport transport,
            XnioIoThread thread,
            Ticker ticker,
            RelayDialect dialect,
            BackendDirectory directory,
            PrefixCacheIndex prefixMemory,
            ServerStatements statements,
            ReachListener reach) {
        this.transport = transport;
        this.thread = thread;
        this.ticker = ticker;
        this.dialect = dialect;
        this.directory = directory;
        this.prefixCacheIndex = prefixMemory;
        this.statements = statements;
        this.reach = reach;
    }

    /** Creates a poller that runs on the given thread. */
    public static LoadPoller create(
            HttpTransport transport,
            XnioIoThread thread,
            Ticker ticker,
            RelayDialect dialect,
            BackendDirectory directory,
            PrefixCacheIndex prefixMemory,
            ServerStatements statements,
            ReachListener reach) {
        return new LoadPoller(transport, thread, ticker, dialect, directory, prefixMemory, statements, reach);
    }

    /** Polls the next engine and returns the delay in milliseconds until the next poll. */
    public long pollNext() {
        List<Backend> engines = directory.all().stream()
                .filter(backend -> !backend.leaving() && backend.entry().stage() != BackendStage.PLAIN)
                .toList();
        if (engines.isEmpty()) {
            return ROUND_INTERVAL_MILLIS;
        }
        lastIndex = (lastIndex + 1) % engines.size();
        pollLoad(engines.get(lastIndex));
        pollCacheChanges(engines.get(lastIndex));
        return Math.max(MIN_POLL_INTERVAL_MILLIS, ROUND_INTERVAL_MILLIS / engines.size());
    }

    private void pollLoad(Backend backend) {
        send(
                backend,
                dialect.load(backend),
                body -> dialect.load(body).ifPresent(load -> backend.updateLoad(load, ticker.nanos())),
                failure -> recordPoll(backend, failure));
    }

    /**
     * Requests the changes of the prefix cache since the last known position, on a new connection while it is doubtful
     * whether any can be opened.
     */
    private void pollCacheChanges(Backend backend) {
        String boot = backend.entry().bootId();
        HttpCall call = dialect.cacheChanges(backend, prefixCacheIndex.nextChangeNumber(boot));
        boolean opensConnection = reach.suspectsNewConnections();
        send(
                backend,
                opensConnection ? call.onNewConnection() : call,
                body -> dialect.cacheChanges(body).ifPresent(changes -> prefixCacheIndex.applyChanges(boot, changes)),
                failure -> {
                    if (opensConnection) {
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
        } else if (failure instanceof ServerFailure known && UNUSABLE.contains(known.kind())) {
            backend.markUnreachable();
        }
    }
}
