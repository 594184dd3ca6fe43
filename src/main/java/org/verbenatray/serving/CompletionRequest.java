package org.verbenatray.serving;

import org.verbenatray.time.Deadline;

/**
 * A parsed completion request.
 *
 * @param requestId the id of the request in logs, traces and responses
 * @param customer the name of the customer
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param seed the sampling seed
 * @param streamed whether the response is streamed
 * @param chat whether the response has the format of a chat completion
 * @param priority the priority; larger values are served first
 * @param receivedNanos the time of receipt in nanoseconds of the ticker
 * @param deadline the time by which the response must be complete
 */
public record CompletionRequest(
        String requestId,
        String customer,
        String model,
        String prompt,
        int maxTokens,
        long seed,
        boolean streamed,
        boolean chat,
        int priority,
        long receivedNanos,
        Deadline deadline) {
    /** The average number of characters per token, for estimates without a tokenizer. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Returns the estimated length of the prompt in tokens, at least one. */
    public int promptTokens() {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }
}
