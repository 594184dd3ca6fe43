package org.verbenatray.servers;

/**
 * A request to a model engine to generate tokens.
 *
 * @param dispatch the fresh id of this dispatch, echoed by every line of the reply
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the tokens to generate at most, counted from offset zero
 * @param seed the seed of the sampling, so that a run on another engine continues the same text
 * @param priority the priority, larger is served first
 * @param fromOffset the number of tokens that were relayed before, to be skipped
 * @param emitted the text of these tokens, which the engine processes as part of the prompt
 */
public record GenerateRequest(
        String dispatch,
        String model,
        String prompt,
        int maxTokens,
        long seed,
        int priority,
        int fromOffset,
        String emitted) {}
