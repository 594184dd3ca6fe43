package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import java.util.Optional;

/**
 * The final response to a request that was rejected or failed.
 *
 * @param kind the kind
 * @param ran whether a backend server ran the request
 * @param message the fault and its remedy
 * @param retryAfterMillis the delay before a retry in milliseconds, empty if a retry is of no use
 */
public record Refusal(RefusalKind kind, Ran ran, String message, Optional<Long> retryAfterMillis) {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Returns the refusal of a request that was not run and must be changed before a retry. */
    public static Refusal notRun(RefusalKind kind, String message) {
        return new Refusal(kind, Ran.NO, message, Optional.empty());
    }

    /** Returns the refusal of a request that was not run and may be retried after the given delay. */
    public static Refusal retryLater(RefusalKind kind, String message, long retryAfterMillis) {
        return new Refusal(kind, Ran.NO, message, Optional.of(retryAfterMillis));
    }

    /** Returns the refusal of a request that may have run. */
    public static Refusal mayHaveRun(RefusalKind kind, String message, Optional<Long> retryAfterMillis) {
        return new Refusal(kind, Ran.MAYBE, message, retryAfterMillis);
    }

    /** Returns the value of the Retry-After header: the retry delay in seconds, rounded up. */
    public Optional<Long> retryAfterSeconds() {
        return retryAfterMillis.map(millis -> (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    /** Returns the JSON document sent to the caller. */
    public Document document() {
        return new Document(new Body(
                kind.name().toLowerCase(Locale.ROOT), ran.name().toLowerCase(Locale.ROOT), message, retryAfterMillis));
    }

    /** States whether a request was run. */
    public enum Ran {
        /** The request was not run and will not be. */
        NO,
        /** The request may have run. */
        MAYBE,
        /** The request ran. */
        YES
    }

    /**
     * The JSON document of a refusal.
     *
     * @param error the refusal
     */
    public record Document(Body error) {}

    /**
     * The content of the JSON document of a refusal.
     *
     * @param type the kind in lower case
     * @param ran whether the request was run: no, maybe or yes
     * @param message the fault and its remedy
     * @param retryAfterMillis the delay before a retry in milliseconds
     */
    @JsonInclude(JsonInclude.Include.NON_ABSENT)
    public record Body(
            String type,
            String ran,
            String message,
            @JsonProperty("retry_after_ms") Optional<Long> retryAfterMillis) {}
}
