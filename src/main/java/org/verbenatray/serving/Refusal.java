package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import java.util.Optional;

/**
 * The final answer to a request that got no whole answer.
 *
 * @param kind the kind
 * @param ran whether the request was run by a backend server
 * @param message what was found and the remedy
 * @param retryAfterMillis when to come back, empty when coming back is of no use
 */
public record Refusal(RefusalKind kind, Ran ran, String message, Optional<Long> retryAfterMillis) {
    /** Milliseconds in one second. */
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Returns the refusal of a request that was not run and must be changed before it is sent again. */
    public static Refusal notRun(RefusalKind kind, String message) {
        return new Refusal(kind, Ran.NO, message, Optional.empty());
    }

    /** Returns the refusal of a request that was not run and may be sent again later. */
    public static Refusal retryLater(RefusalKind kind, String message, long retryAfterMillis) {
        return new Refusal(kind, Ran.NO, message, Optional.of(retryAfterMillis));
    }

    /** Returns the failure of a request that may have run. */
    public static Refusal mayHaveRun(RefusalKind kind, String message, Optional<Long> retryAfterMillis) {
        return new Refusal(kind, Ran.MAYBE, message, retryAfterMillis);
    }

    /** Returns the value of the Retry-After header in seconds. */
    public Optional<Long> retryAfterSeconds() {
        return retryAfterMillis.map(millis -> (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    /** Returns the JSON form. */
    public Document document() {
        return new Document(new Body(
                kind.name().toLowerCase(Locale.ROOT), ran.name().toLowerCase(Locale.ROOT), message, retryAfterMillis));
    }

    /** Whether a request was run. */
    public enum Ran {
        /** It was not run and will not be. */
        NO,
        /** It may have been run. */
        MAYBE,
        /** It was run. */
        YES
    }

    /**
     * The JSON document of a refusal.
     *
     * @param error the refusal
     */
    public record Document(Body error) {}

    /**
     * The JSON form of a refusal.
     *
     * @param type the kind in lower case
     * @param ran whether the request was run: no, maybe or yes
     * @param message what was found and the remedy
     * @param retryAfterMillis when to come back
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record Body(
            String type,
            String ran,
            String message,
            @JsonProperty("retry_after_ms") Optional<Long> retryAfterMillis) {}
}
