package org.verbenatray.once;

import java.util.Optional;
import org.verbenatray.log.RecordBody.CallAnswer;

/**
 * What is known of a request whose call may run at most once.
 *
 * @param kind the kind
 * @param scope what the kind {@link Kind#NOT_RUN} speaks of
 * @param answer the answer, only with {@link Kind#ANSWERED}; its body is empty when it was too large to keep
 * @param stored whether the answer was kept from an earlier attempt
 * @param retryAfterMillis when to come back with the same key in milliseconds, 0 when there is no reason to
 * @param reason what happened and the remedy, for people
 */
public record OnceResult(
        Kind kind, Scope scope, Optional<CallAnswer> answer, boolean stored, long retryAfterMillis, String reason) {

    /** Returns an answer of the attempt of this request. */
    static OnceResult fresh(CallAnswer answer) {
        return new OnceResult(Kind.ANSWERED, Scope.CALL, Optional.of(answer), false, 0, "answered");
    }

    /** Returns an answer of another attempt. */
    static OnceResult stored(CallAnswer answer) {
        String reason = answer.body().isPresent()
                ? "answered by an earlier attempt"
                : "answered by an earlier attempt whose body was not kept; read the result from the service";
        return new OnceResult(Kind.ANSWERED, Scope.CALL, Optional.of(answer), true, 0, reason);
    }

    /** Returns that nothing ran. */
    static OnceResult notRun(Scope scope, long retryAfterMillis, String reason) {
        return new OnceResult(Kind.NOT_RUN, scope, Optional.empty(), false, retryAfterMillis, reason);
    }

    /** Returns that nobody knows and nobody will. */
    static OnceResult mayHaveRun(String reason) {
        return new OnceResult(Kind.MAY_HAVE_RUN, Scope.CALL, Optional.empty(), false, 0, reason);
    }

    /** Returns that an attempt is under way. */
    static OnceResult running(long retryAfterMillis) {
        String reason = "the call is being run; repeat with the same key for its answer";
        return new OnceResult(Kind.RUNNING, Scope.CALL, Optional.empty(), false, retryAfterMillis, reason);
    }

    /** Returns that the key names another request. */
    static OnceResult keyMisused() {
        return new OnceResult(Kind.KEY_MISUSED, Scope.CALL, Optional.empty(), false, 0, CallFold.OTHER_BODY);
    }

    /** The kinds of results. */
    public enum Kind {
        /** The call ran and was answered. */
        ANSWERED,
        /** The call did not run within the result's scope, and will not. */
        NOT_RUN,
        /** Whether the call ran is unknown for good; it is never run again under its key. */
        MAY_HAVE_RUN,
        /** An attempt holds the key and has not ended. */
        RUNNING,
        /** The key was used with another request; this one did not run. */
        KEY_MISUSED
    }

    /** What a result speaks of. */
    public enum Scope {
        /** The call, by whatever attempt up to now. */
        CALL,
        /** This attempt only; another attempt with the same key may run or have run. */
        ATTEMPT
    }
}
