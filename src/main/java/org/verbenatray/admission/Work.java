package org.verbenatray.admission;

/**
 * An amount of work for engines, in tokens.
 *
 * @param promptTokens the prompt tokens to process
 * @param outputTokens the tokens to generate
 */
public record Work(long promptTokens, long outputTokens) {
    /** No work. */
    public static final Work NONE = new Work(0, 0);

    /** Returns the sum of this work and the other one. */
    public Work plus(Work other) {
        return new Work(promptTokens + other.promptTokens, outputTokens + other.outputTokens);
    }

    /** Returns the difference of this work and the other one. */
    public Work minus(Work other) {
        return new Work(promptTokens - other.promptTokens, outputTokens - other.outputTokens);
    }

    /** Returns this work multiplied by the factor. */
    public Work times(long factor) {
        return new Work(promptTokens * factor, outputTokens * factor);
    }

    /** Returns the minimum of both works, separately for prompt and output tokens. */
    public Work min(Work other) {
        return new Work(Math.min(promptTokens, other.promptTokens), Math.min(outputTokens, other.outputTokens));
    }
}
