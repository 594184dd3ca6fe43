package org.verbenatray.admission;

/**
 * An amount of work.
 *
 * @param promptTokens the prompt tokens to process
 * @param outputTokens the tokens to generate
 */
public record Work(long promptTokens, long outputTokens) {
    /** No work. */
    public static final Work NONE = new Work(0, 0);

    /** Returns the sum of both. */
    public Work plus(Work other) {
        return new Work(promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }

    /** Returns this work less the other one. */
    public Work minus(Work other) {
        return new Work(promptTokens - other.promptTokens, outputTokens - other.outputTokens);
    }

    /** Returns the work times the factor. */
    public Work times(long factor) {
        return new Work(promptTokens * factor, outputTokens * factor);
    }

    /** Returns the smaller of both amounts for each kind of token. */
    public Work min(Work other) {
        return new Work(Math.min(promptTokens, other.promptTokens), Math.min(outputTokens, other.outputTokens));
    }
}
