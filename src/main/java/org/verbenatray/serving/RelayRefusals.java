package org.verbenatray.serving;

import java.util.Optional;
import org.verbenatray.servers.ServerFailure;

/** The final answers of requests whose stream could not be made whole. */
final class RelayRefusals {
    /** The time after which a caller may come back in milliseconds. */
    private static final long RETRY_MILLIS = 2_000;

    /** Prevents instances. */
    private RelayRefusals() {}

    /** Returns the answer when no engine can take a request, or what remains of it. */
    static Refusal noEngine(String model, boolean begun) {
        String message = "no engine can take model " + model + " now; send the request again later";
        return refusal(RefusalKind.NO_SERVER, message, begun);
    }

    /** Returns the answer after the last permitted run failed. */
    static Refusal serversFailed(ServerFailure failure, boolean begun) {
        String message = "the backend servers failed (" + failure.getMessage() + "); send the request again";
        return refusal(RefusalKind.SERVER_FAILED, message, begun);
    }

    /** Returns the answer at the deadline of a request of which the given number of tokens were relayed. */
    static Refusal expired(int emittedTokens) {
        return Refusal.mayHaveRun(
                RefusalKind.DEADLINE,
                "the deadline passed after " + emittedTokens + " tokens; allow more time or ask for fewer tokens",
                Optional.empty());
    }

    /** Returns an answer that tells whether an engine may have begun to run the request. */
    private static Refusal refusal(RefusalKind kind, String message, boolean begun) {
        return begun
                ? Refusal.mayHaveRun(kind, message, Optional.of(RETRY_MILLIS))
                : Refusal.retryLater(kind, message, RETRY_MILLIS);
    }
}
