package org.verbenatray.relay;

import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.ServerStatement;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Records what backend servers state of themselves, in whichever response they do so. Used on one thread. */
public final class ServerStatements {
    private final RelayDialect dialect;
    private final ServerLimits limits;

    /** Receives the boot id of a server that says it is leaving. */
    private final Consumer<String> onLeaving;

    private final Ticker ticker;

    private ServerStatements(RelayDialect dialect, ServerLimits limits, Consumer<String> onLeaving, Ticker ticker) {
        this.dialect = dialect;
        this.limits = limits;
        this.onLeaving = onLeaving;
        this.ticker = ticker;
    }

    /** Creates an object that records limits and pauses, and passes on the boot ids of servers that are leaving. */
    public static ServerStatements create(
            RelayDialect dialect, ServerLimits limits, Consumer<String> onLeaving, Ticker ticker) {
        return new ServerStatements(dialect, limits, onLeaving, ticker);
    }

    /** Records what the response to a forwarded request states. */
    void recordAnswer(Backend backend, ServerResponseHead head) {
        if (head.matchesRequestId()) {
            head.statement().ifPresent(statement -> record(backend, statement, limits::recordAnswer));
        }
    }

    /** Records what the response to any other call states. */
    void recordStatusAnswer(Backend backend, BufferedResponse response) {
        dialect.statement(response).ifPresent(statement -> record(backend, statement, limits::recordStatusAnswer));
    }

    private void record(Backend backend, ServerStatement statement, BiConsumer<String, OptionalDouble> limitRecorder) {
        statement
                .limit()
                .ifPresent(limit -> limitRecorder.accept(backend.entry().bootId(), limit.requestsPerSecond()));
        statement
                .pauseMillis()
                .ifPresent(millis -> backend.recordTurnedAway(Deadline.afterMillis(ticker.nanos(), millis)));
        if (statement.leaving()) {
            onLeaving.accept(backend.entry().bootId());
        }
    }
}
