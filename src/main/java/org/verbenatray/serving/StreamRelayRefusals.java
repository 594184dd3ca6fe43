package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.servers.ServerFailure;

/** Creates the refusals of completion requests whose response cannot be completed. */
final class StreamRelayRefusals {
    /** The retry delay sent to callers, in milliseconds. */
    private static final long RETRY_MILLIS = 2_000;

    private StreamRelayRefusals() {}

    /** Returns the refusal when no engine is available for a request or for the rest of it. */
    static Refusal noEngine(String model, boolean mayHaveRun) {
        String message = "no engine can take model " + model + " now; send the request again later";
        return refusal(RefusalKind.NO_SERVER, message, mayHaveRun);
    }

    /** Returns the refusal after the last permitted dispatch failed. */
    static Refusal serversFailed(ServerFailure failure, boolean mayHaveRun) {
        String message = "the backend servers failed (" + failure.getMessage() + "); send the request again";
        return refusal(RefusalKind.SERVER_FAILED, message, mayHaveRun);
    }

    /** Returns the refusal at the request's deadline, after the given number of tokens was relayed. */
    static Refusal deadlinePassed(int emittedTokens) {
        return Refusal.mayHaveRun(
                RefusalKind.DEADLINE,
                "the deadline passed after " + emittedTokens + " tokens; allow more time or ask for fewer tokens",
                Optional.empty());
    }

    /** Returns a refusal that states whether an engine may have run part of the request. */
    private static Refusal refusal(RefusalKind kind, String message, boolean mayHaveRun) {
        return mayHaveRun
                ? Refusal.mayHaveRun(kind, message, Optional.of(RETRY_MILLIS))
                : Refusal.retryLater(kind, message, RETRY_MILLIS);
    }
}
