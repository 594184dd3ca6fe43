package org.verbenatray.relay;

import java.util.OptionalDouble;
import java.util.function.BiConsumer;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.ServerStatement;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** Records what backend servers state of themselves, in whichever response they do so. Used on one thread. */
public final class ServerStatements {
    private final RelayDialect dialect;
    private final ServerLimits limits;
    private final BackendDirectory directory;

    private final Ticker ticker;

    private ServerStatements(RelayDialect dialect, ServerLimits limits, BackendDirectory directory, Ticker ticker) {
        this.dialect = dialect;
        this.limits = limits;
        this.directory = directory;
        this.ticker = ticker;
    }

    /** Creates an object that records limits, and which servers of the directory are leaving or want a pause. */
    public static ServerStatements create(
            RelayDialect dialect, ServerLimits limits, BackendDirectory directory, Ticker ticker) {
        return new ServerStatements(dialect, limits, directory, ticker);
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
            directory.markLeaving(backend.entry().bootId());
        }
    }
}
