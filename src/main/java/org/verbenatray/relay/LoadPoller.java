package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.servers.HttpReply;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/** Asks the engines for their load one after the other, at a rate that does not grow with their number. */
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

    /** What the relay works with. */
    private final RelayParts parts;

    /** The position in the list of engines. */
    private int next;

    /** Creates a poller. */
    private LoadPoller(RelayParts parts) {
        this.parts = parts;
    }

    /** Returns a poller. */
    public static LoadPoller create(RelayParts parts) {
        return new LoadPoller(parts);
    }

    /** Asks the next engine and returns the time until the one after it in milliseconds. */
    public long ask() {
        List<Backend> engines = parts.directory().all().stream()
                .filter(backend -> !backend.leaving() && backend.entry().stage() != BackendStage.PLAIN)
                .toList();
        if (engines.isEmpty()) {
            return ROUND_MILLIS;
        }
        next = (next + 1) % engines.size();
        ask(engines.get(next));
        return Math.max(MIN_BETWEEN_MILLIS, ROUND_MILLIS / engines.size());
    }

    /** Asks an engine. */
    private void ask(Backend backend) {
        Deadline deadline = Deadline.afterMillis(parts.ticker().nanos(), ANSWER_MILLIS);
        parts.transport()
                .call(parts.dialect().load(backend), parts.thread(), deadline, MAX_ANSWER_BYTES)
                .whenComplete((reply, failure) -> {
                    if (failure != null) {
                        Event.named("load_unknown")
                                .with("backend", backend.entry().id())
                                .with("why", failure.getMessage())
                                .log(log, Level.DEBUG);
                    } else {
                        take(backend, reply);
                    }
                });
    }

    /** Takes the answer of an engine. */
    private void take(Backend backend, HttpReply reply) {
        if (reply.status() == 200) {
            parts.dialect()
                    .load(reply.body())
                    .ifPresent(reading -> backend.loaded(reading, parts.ticker().nanos()));
        }
    }
}
