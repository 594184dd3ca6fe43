package org.verbenatray.scheduling;

import java.util.OptionalDouble;

/**
 * What became of a prompt that was placed at an engine.
 *
 * @param kind how it ended
 * @param millis the time that the engine has taken, in milliseconds; empty if it has not processed the prompt
 */
public record PromptOutcome(Kind kind, OptionalDouble millis) {
    /** The prompt was not sent, or its caller has left. */
    public static final PromptOutcome WITHDRAWN = new PromptOutcome(Kind.WITHDRAWN, OptionalDouble.empty());

    /** The engine has not processed the prompt. */
    public static final PromptOutcome FAILED = new PromptOutcome(Kind.FAILED, OptionalDouble.empty());

    /** Returns the outcome of a prompt that was processed in the given time. */
    public static PromptOutcome processed(double millis) {
        return new PromptOutcome(Kind.PROCESSED, OptionalDouble.of(millis));
    }

    /** How a prompt ended at its engine. */
    public enum Kind {
        /** The engine has processed it. */
        PROCESSED,
        /** It was not sent, or was given up before the engine had processed it. */
        WITHDRAWN,
        /** The engine has rejected it or has failed. */
        FAILED
    }
}
