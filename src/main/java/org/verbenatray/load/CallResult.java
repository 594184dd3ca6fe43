package org.verbenatray.load;

/**
 * The result of one call.
 *
 * @param kind the kind of the call
 * @param outcome the outcome as seen by the caller
 * @param firstTokenNanos the time to first token in nanoseconds, or the total time where there was no token
 * @param betweenTokensNanos the mean time between tokens in nanoseconds, zero with fewer than three tokens
 * @param totalNanos the time to the end of the response in nanoseconds
 * @param detail the error, empty for a complete response
 */
public record CallResult(
        LoadCallKind kind,
        Outcome outcome,
        long firstTokenNanos,
        long betweenTokensNanos,
        long totalNanos,
        String detail) {
    /** The outcome of a call. */
    public enum Outcome {
        /** A complete and correct response was received. */
        WHOLE,
        /** The call was rejected with the statement that it did not run, or no connection could be made. */
        NOT_RUN,
        /** The call failed with the statement that it may have run. */
        MAY_HAVE_RUN,
        /** The response timed out or ended early without an error that states the outcome. */
        LOST,
        /** The response belongs to another call, or tokens are missing or duplicated. */
        WRONG
    }
}
