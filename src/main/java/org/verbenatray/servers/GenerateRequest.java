package org.verbenatray.servers;

/**
 * A request to a model engine to generate tokens.
 *
 * @param dispatch the unique id of this dispatch, echoed in every line of the response
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the largest number of tokens to generate, counted from offset zero
 * @param seed the sampling seed; with the same seed, another engine continues the same text
 * @param priority the priority; requests with a larger value are served first
 * @param fromOffset the number of tokens already sent to the caller, which are not generated again
 * @param emitted the text of these tokens, which is processed as part of the prompt
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
