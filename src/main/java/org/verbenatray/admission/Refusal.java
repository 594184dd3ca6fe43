package org.verbenatray.admission;

import java.util.OptionalLong;

/**
 * The final answer to a request that is not run.
 *
 * @param kind why
 * @param retryAfterMillis the time after which the same request is expected to be accepted in milliseconds, empty when
 *     waiting does not help
 * @param message the reason with its figures and the remedy
 */
public record Refusal(RefusalKind kind, OptionalLong retryAfterMillis, String message) {
    /** Returns a refusal of a request that may be accepted after the given time. */
    static Refusal comeBack(RefusalKind kind, double retryAfterMillis, String reason) {
        long millis = (long) Math.ceil(Math.max(1, retryAfterMillis));
        return new Refusal(kind, OptionalLong.of(millis), message(kind, reason));
    }

    /** Returns a refusal of a request that waiting does not help. */
    static Refusal lasting(RefusalKind kind, String reason) {
        return new Refusal(kind, OptionalLong.empty(), message(kind, reason));
    }

    /** Returns the message. */
    private static String message(RefusalKind kind, String reason) {
        return reason + "; not run; " + kind.remedy();
    }
}
