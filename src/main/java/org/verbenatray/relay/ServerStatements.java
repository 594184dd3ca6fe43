package org.verbenatray.relay;

import org.verbenatray.backends.Backend;
import org.verbenatray.limits.ServerLimits;
import org.verbenatray.servers.BufferedResponse;

/** Records what backend servers state of themselves, in whichever response they do so. Used on one thread. */
public final class ServerStatements {
    private final RelayDialect dialect;
    private final ServerLimits limits;

    private ServerStatements(RelayDialect dialect, ServerLimits limits) {
        this.dialect = dialect;
        this.limits = limits;
    }

    /** Creates an object that records limits. */
    public static ServerStatements create(RelayDialect dialect, ServerLimits limits) {
        return new ServerStatements(dialect, limits);
    }

    /** Records what the response to a forwarded request states. */
    void recordAnswer(Backend backend, ServerResponseHead head) {
        if (head.matchesRequestId()) {
            head.statement()
                    .ifPresent(
                            statement -> limits.recordAnswer(backend.entry().bootId(), statement.requestsPerSecond()));
        }
    }

    /** Records what the response to any other call states. */
    void recordStatusAnswer(Backend backend, BufferedResponse response) {
        dialect.statement(response)
                .ifPresent(statement ->
                        limits.recordStatusAnswer(backend.entry().bootId(), statement.requestsPerSecond()));
    }
}
