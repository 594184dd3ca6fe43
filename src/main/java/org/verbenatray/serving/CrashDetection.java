package org.verbenatray.serving;

import java.util.concurrent.CompletionException;
import org.verbenatray.servers.ServerFailure;

/** Distinguishes failures that indicate a crashed engine from other failures. */
final class CrashDetection {
    private CrashDetection() {}

    /**
     * Returns whether a failed status request indicates that no process accepts connections at the engine's address.
     */
    static boolean indicatesCrash(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ServerFailure serverFailure
                && (serverFailure.kind() == ServerFailure.Kind.NOT_CONNECTED
                        || serverFailure.kind() == ServerFailure.Kind.BROKEN);
    }
}
