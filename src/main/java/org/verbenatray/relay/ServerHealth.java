package org.verbenatray.relay;

import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;

/** Updates the health of a backend server by the outcome of an attempt. */
final class ServerHealth {
    private ServerHealth() {}

    /** Records an outcome. */
    static void record(RelayContext context, Backend backend, ForwardOutcome outcome) {
        long now = context.ticker().nanos();
        switch (outcome.kind()) {
            case NOT_SENT -> {
                context.reach().onNotConnected(backend);
                context.pace().recordRefusal(backend);
                backend.recordFailure(now);
                backend.markUnreachable();
                if (backend.entry().stage() == BackendStage.PLAIN) {
                    context.connectProbe().watch(backend);
                }
            }
            case SILENT, BROKEN -> {
                context.pace().recordRefusal(backend);
                backend.recordFailure(now);
                context.crashProbe().probe(backend);
            }
            case NOT_RUN, NOT_ADMITTED -> {
                context.pace().recordRefusal(backend);
                backend.recordRejection(now);
            }
            case EMPTY_REST -> {
                // Neither good nor bad until it is known whether the stream has ended.
            }
            default -> {
                if (outcome.status() >= 500) {
                    backend.recordErrorResponse();
                } else {
                    context.pace().recordSuccess(backend);
                    backend.recordSuccess();
                }
            }
        }
    }
}
