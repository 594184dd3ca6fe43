package org.verbenatray.standin.engine;

import java.util.List;

/**
 * A prompt that an engine is asked to answer.
 *
 * @param id the id of the dispatch, unique per engine
 * @param model the model
 * @param priority the priority, larger is served first
 * @param promptTokens the length of the prompt in tokens, at least 1
 * @param outputTokens the length of the whole answer in tokens, at least 1
 * @param startOffset the offset of the first token to generate, larger than 0 to resume an answer
 * @param seed the seed of the answer's text
 * @param prefixHashes the chained hashes of the prompt's complete pieces
 * @param prefillOnly whether the engine stops after the first token and keeps the KV cache for export
 */
public record EngineRequest(
        String id,
        String model,
        int priority,
        int promptTokens,
        int outputTokens,
        int startOffset,
        long seed,
        List<Long> prefixHashes,
        boolean prefillOnly) {

    /** Checks the lengths. */
    public EngineRequest {
        if (promptTokens < 1 || outputTokens < 1) {
            throw new IllegalArgumentException("promptTokens and outputTokens must be at least 1");
        }
        if (startOffset < 0 || startOffset >= outputTokens) {
            throw new IllegalArgumentException("startOffset must lie in the answer");
        }
        prefixHashes = List.copyOf(prefixHashes);
    }

    /** Returns the same request that runs to its end on one engine. */
    public EngineRequest whole() {
        return new EngineRequest(
                id, model, priority, promptTokens, outputTokens, startOffset, seed, prefixHashes, false);
    }

    /** Returns the tokens that have to be in KV cache before the first token is generated. */
    public int contextTokens() {
        return promptTokens + startOffset;
    }

    /** Returns the tokens of KV cache that the request may come to need. */
    public long kvReservation() {
        return prefillOnly ? contextTokens() + 1L : (long) promptTokens + outputTokens;
    }
}
