package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.function.Consumer;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.placement.PrefixMemory;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/** Asks the engines for their load and for what they keep, one by one, at a rate that their number does not raise. */
public final class LoadPoller {
    /** The time in milliseconds in which each of a few engines is asked once. */
    private static final long ROUND_MILLIS = 1_000;

    /** The shortest time between two questions in milliseconds, however many engines there are. */
    private static final long MIN_BETWEEN_MILLIS = 60;

    /** The time that an answer may take in milliseconds. */
    private static final long ANSWER_MILLIS = 500;

    /** The largest answer in bytes. */
    private static final int MAX_ANSWER_BYTES = 256 * 1024;

    /** The log. */
    private static final Logger log = System.getLogger(LoadPoller.class.getName());

    /** The connections. */
    private final HttpTransport transport;

    /** The thread. */
    private final XnioIoThread thread;

    /** The clock. */
    private final Ticker ticker;

    /** The translation of calls. */
    private final RelayDialect dialect;

    /** The backend servers. */
    private final BackendDirectory directory;

    /** What the engines are believed to keep. */
    private final PrefixMemory memory;

    /** The position in the list of engines. */
    private int next;

    /** Creates a poller. */
    private LoadPoller(
            HttpTransport transport,
            XnioIoThread thread,
            Ticker ticker,
            RelayDialect dialect,
            BackendDirectory directory,
            PrefixMemory memory) {
        this.transport = transport;
        this.thread = thread;
        this.ticker = ticker;
        this.dialect = dialect;
        this.directory = directory;
        this.memory = memory;
    }

    /** Returns a poller. */
    public static LoadPoller create(
            HttpTransport transport,
            XnioIoThread thread,
            Ticker ticker,
            RelayDialect dialect,
            BackendDirectory directory,
            PrefixMemory memory) {
        return new LoadPoller(transport, thread, ticker, dialect, directory, memory);
    }

    /** Asks the next engine and returns the time until the one after it in milliseconds. */
    public long ask() {
        List<Backend> engines = directory.all().stream()
                .filter(backend -> !backend.leaving() && backend.entry().stage() != BackendStage.PLAIN)
                .toList();
        if (engines.isEmpty()) {
            return ROUND_MILLIS;
        }
        next = (next + 1) % engines.size();
        askLoad(engines.get(next));
        askCache(engines.get(next));
        return Math.max(MIN_BETWEEN_MILLIS, ROUND_MILLIS / engines.size());
    }

    /** Asks an engine for its load. */
    private void askLoad(Backend backend) {
        send(
                backend,
                dialect.load(backend),
                body -> dialect.load(body).ifPresent(reading -> backend.loaded(reading, ticker.nanos())));
    }

    /** Asks an engine what changed in its memory. */
    private void askCache(Backend backend) {
        String boot = backend.entry().boot();
        send(
                backend,
                dialect.cacheChanges(backend, memory.position(boot)),
                body -> dialect.cacheChanges(body).ifPresent(changes -> memory.changed(boot, changes)));
    }

    /** Asks an engine something. */
    private void send(Backend backend, HttpCall call, Consumer<byte[]> taker) {
        Deadline deadline = Deadline.afterMillis(ticker.nanos(), ANSWER_MILLIS);
        transport.call(call, thread, deadline, MAX_ANSWER_BYTES).whenComplete((reply, failure) -> {
            noteReach(backend, failure);
            if (failure == null && reply.status() == 200) {
                taker.accept(reply.body());
                return;
            }
            Event.named("engine_state_unknown")
                    .with("backend", backend.entry().id())
                    .with("asked", call.path())
                    .with("why", failure == null ? reply.status() : failure.getMessage())
                    .log(log, Level.DEBUG);
        });
    }

    /** Notes whether an engine could be reached; a connection that it resets says nothing of that. */
    private static void noteReach(Backend backend, Throwable failure) {
        if (failure == null) {
            backend.reached();
        } else if (failure instanceof ServerFailure known
                && (known.kind() == ServerFailure.Kind.NOT_CONNECTED || known.kind() == ServerFailure.Kind.SILENT)) {
            backend.missed();
        }
    }
}
