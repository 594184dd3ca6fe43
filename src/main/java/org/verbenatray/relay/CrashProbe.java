package org.verbenatray.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.resilience.ServerRuns;
import org.verbenatray.servers.CallPurpose;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/**
 * Detects ended servers: connects anew to a server that has not responded to a request, and reports it to
 * {@link ServerRuns} as ended if it does not respond to that either.
 */
public final class CrashProbe {
    /** Longer than the connect timeout, so that a server that does not accept connections is told from a slow one. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 800;

    /** Minimum time between two probes of the same boot of a server. */
    private static final long MIN_INTERVAL_MILLIS = 500;

    /** The failures of a probe that a running server does not cause. */
    private static final Set<ServerFailure.Kind> UNRESPONSIVE =
            Set.of(ServerFailure.Kind.NOT_CONNECTED, ServerFailure.Kind.TIMED_OUT);

    private static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private final HttpTransport transport;
    private final XnioIoThread thread;
    private final Ticker ticker;
    private final RelayDialect dialect;
    private final ServerRuns runs;
    private final ServerStatements statements;

    /** When each boot of a server may be probed again. */
    private final Map<String, Deadline> pausedUntil = new HashMap<>();

    /** The boots that are probed again at the end of their pause. */
    private final Set<String> postponed = new HashSet<>();

    private CrashProbe(
            HttpTransport transport,
            XnioIoThread thread,
            Ticker ticker,
            RelayDialect dialect,
            ServerRuns runs,
            ServerStatements statements) {
        this.transport = transport;
        this.thread = thread;
        this.ticker = ticker;
        this.dialect = dialect;
        this.runs = runs;
        this.statements = statements;
    }

    /** Creates a probe that runs on the given thread. */
    public static CrashProbe create(
            HttpTransport transport,
            XnioIoThread thread,
            Ticker ticker,
            RelayDialect dialect,
            ServerRuns runs,
            ServerStatements statements) {
        return new CrashProbe(transport, thread, ticker, dialect, runs, statements);
    }

    /** Probes a server that has not responded, at the end of its pause if it was probed within the last 500 ms. */
    void probe(Backend backend) {
        long now = ticker.nanos();
        if (backend.turnedAwayMillis(now) > 0) {
            return;
        }
        String boot = backend.entry().bootId();
        pausedUntil.values().removeIf(until -> until.hasPassed(now));
        Deadline pause = pausedUntil.get(boot);
        if (pause == null) {
            probeNow(backend, now);
        } else if (postponed.add(boot)) {
            thread.executeAfter(() -> probePostponed(backend), pause.remainingMillis(now) + 1, TimeUnit.MILLISECONDS);
        }
    }

    private void probePostponed(Backend backend) {
        postponed.remove(backend.entry().bootId());
        probe(backend);
    }

    private void probeNow(Backend backend, long now) {
        String boot = backend.entry().bootId();
        pausedUntil.put(boot, Deadline.afterMillis(now, MIN_INTERVAL_MILLIS));
        transport
                .call(
                        dialect.load(backend).onNewConnection().withPurpose(CallPurpose.CHECK),
                        thread,
                        Deadline.afterMillis(now, RESPONSE_TIMEOUT_MILLIS),
                        MAX_RESPONSE_BYTES)
                .whenComplete((response, failure) -> {
                    if (failure == null) {
                        runs.recordChecked(boot, now);
                        statements.recordStatusAnswer(backend, response);
                    } else if (failure instanceof ServerFailure known && UNRESPONSIVE.contains(known.kind())) {
                        runs.recordEnd(boot);
                    }
                });
    }
}
