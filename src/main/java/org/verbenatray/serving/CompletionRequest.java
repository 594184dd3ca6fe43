package org.verbenatray.serving;

import org.verbenatray.time.Deadline;

/**
 * A parsed completion request.
 *
 * @param requestId the id under which this system reports it
 * @param customer the customer
 * @param model the model
 * @param prompt the prompt
 * @param maxTokens the tokens to generate at most
 * @param seed the seed of the sampling
 * @param streamed whether the answer is streamed
 * @param chat whether the answer has the form of a chat message
 * @param priority the priority, larger is served first
 * @param receivedNanos when it was received
 * @param deadline when its answer must be whole
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
    /** The customary number of characters in a token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Returns the approximate length of the prompt in tokens. */
    public int promptTokens() {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }
}
