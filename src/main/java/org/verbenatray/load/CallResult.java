package org.verbenatray.load;

/**
 * What became of one call.
 *
 * @param kind the kind of the call
 * @param outcome how it ended
 * @param firstTokenNanos the time to the first token, zero where there was none
 * @param betweenTokensNanos the mean time between tokens, zero where there was none
 * @param totalNanos the time to the final answer
 * @param detail what was wrong, empty for a whole answer
 */
public record CallResult(
        CallKind kind, Outcome outcome, long firstTokenNanos, long betweenTokensNanos, long totalNanos, String detail) {
    /** The ways in which a call ends. */
    public enum Outcome {
        /** The whole answer came. */
        WHOLE,
        /** The caller was told that nothing was run. */
        NOT_RUN,
        /** The caller was told that the call may have run. */
        MAY_HAVE_RUN,
        /** The answer ended without an end and without a failure that tells what happened. */
        LOST,
        /** The answer was not the one of this call, or tokens were missing or doubled. */
        WRONG
    }
}
