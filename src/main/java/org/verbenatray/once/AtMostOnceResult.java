package org.verbenatray.once;

import java.util.Optional;
import org.verbenatray.log.RecordBody.CallAnswer;

/**
 * The known result of a request whose call may run at most once.
 *
 * @param kind the kind of result
 * @param scope the attempts that {@link Kind#NOT_RUN} covers
 * @param answer the response, present only with {@link Kind#ANSWERED}; its body is empty if it was too large to store
 * @param stored whether the response was stored by an earlier attempt
 * @param retryAfterMillis the delay before a retry with the same key, in milliseconds; 0 if a retry is of no use
 * @param reason a message for the caller that says what happened and names the remedy
 */
public record AtMostOnceResult(
        Kind kind, Scope scope, Optional<CallAnswer> answer, boolean stored, long retryAfterMillis, String reason) {

    /** Returns the response to the request's own attempt. */
    static AtMostOnceResult ownResponse(CallAnswer answer) {
        return new AtMostOnceResult(Kind.ANSWERED, Scope.CALL, Optional.of(answer), false, 0, "answered");
    }

    /** Returns the stored response to an earlier attempt with the same key. */
    static AtMostOnceResult stored(CallAnswer answer) {
        String reason = answer.body().isPresent()
                ? "answered by an earlier attempt"
                : "answered by an earlier attempt whose body was not kept; read the result from the service";
        return new AtMostOnceResult(Kind.ANSWERED, Scope.CALL, Optional.of(answer), true, 0, reason);
    }

    /** Returns a result of kind {@link Kind#NOT_RUN}. */
    static AtMostOnceResult notRun(Scope scope, long retryAfterMillis, String reason) {
        return new AtMostOnceResult(Kind.NOT_RUN, scope, Optional.empty(), false, retryAfterMillis, reason);
    }

    /** Returns a result of kind {@link Kind#MAY_HAVE_RUN}. */
    static AtMostOnceResult mayHaveRun(String reason) {
        return new AtMostOnceResult(Kind.MAY_HAVE_RUN, Scope.CALL, Optional.empty(), false, 0, reason);
    }

    /** Returns a result of kind {@link Kind#RUNNING}. */
    static AtMostOnceResult running(long retryAfterMillis) {
        String reason = "the call is being run; repeat with the same key for its answer";
        return new AtMostOnceResult(Kind.RUNNING, Scope.CALL, Optional.empty(), false, retryAfterMillis, reason);
    }

    /** Returns a result of kind {@link Kind#KEY_MISUSED}. */
    static AtMostOnceResult keyMisused() {
        return new AtMostOnceResult(
                Kind.KEY_MISUSED, Scope.CALL, Optional.empty(), false, 0, CallFold.KEY_REUSED_DETAIL);
    }

    /** The kinds of results. */
    public enum Kind {
        /** The call ran and its response is known. */
        ANSWERED,
        /** The call did not run within the scope of the result, and will not. */
        NOT_RUN,
        /** It is unknown whether the call ran, and will remain so. The call is never sent again under its key. */
        MAY_HAVE_RUN,
        /** An attempt that has not ended holds the key. */
        RUNNING,
        /** The key was used with a different request. This request did not run. */
        KEY_MISUSED
    }

    /** The attempts that a result of kind {@link Kind#NOT_RUN} covers. */
    public enum Scope {
        /** All attempts to run the call so far. */
        CALL,
        /** This attempt only. Another attempt with the same key may be running or may have run. */
        ATTEMPT
    }
}
