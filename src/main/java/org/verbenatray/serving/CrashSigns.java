package org.verbenatray.serving;

import java.util.concurrent.CompletionException;
import org.verbenatray.servers.ServerFailure;

/** Tells failures of a crashed engine from others. */
final class CrashSigns {
    /** Prevents instances. */
    private CrashSigns() {}

    /** Returns whether a failure shows that nothing serves at the engine's address. */
    static boolean closesConnections(Throwable problem) {
        Throwable cause = problem instanceof CompletionException ? problem.getCause() : problem;
        return cause instanceof ServerFailure failure
                && (failure.kind() == ServerFailure.Kind.NOT_CONNECTED || failure.kind() == ServerFailure.Kind.BROKEN);
    }
}
