package org.verbenatray.standin.engine;

import java.util.List;

/**
 * A generation request as an engine receives it.
 *
 * @param id the id of the dispatch, unique per engine
 * @param model the model
 * @param priority the priority; larger values are served first
 * @param promptTokens the length of the prompt in tokens, at least 1
 * @param outputTokens the length of the whole output in tokens, at least 1
 * @param startOffset the offset of the first token to generate; greater than 0 to resume an interrupted output
 * @param seed the seed of the generated text
 * @param prefixHashes the hashes of the prompt's complete blocks, each chained with those before it
 * @param prefillOnly whether the engine stops after the first token and keeps the KV cache for export to another engine
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

    public EngineRequest {
        if (promptTokens < 1 || outputTokens < 1) {
            throw new IllegalArgumentException("promptTokens and outputTokens must be at least 1");
        }
        if (startOffset < 0 || startOffset >= outputTokens) {
            throw new IllegalArgumentException("startOffset must be at least 0 and less than outputTokens");
        }
        prefixHashes = List.copyOf(prefixHashes);
    }

    /** Returns a copy that runs both prefill and decode on one engine. */
    public EngineRequest withoutPrefillOnly() {
        return new EngineRequest(
                id, model, priority, promptTokens, outputTokens, startOffset, seed, prefixHashes, false);
    }

    /** Returns the number of tokens that must be in the KV cache before the first token is generated. */
    public int contextTokens() {
        return promptTokens + startOffset;
    }

    /** Returns the maximum number of KV cache tokens that the request can occupy. */
    public long maxKvTokens() {
        return prefillOnly ? contextTokens() + 1L : (long) promptTokens + outputTokens;
    }
}
