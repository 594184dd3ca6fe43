package org.verbenatray.placement;

import java.util.List;

/**
 * The size of a generation request and the blocks of its prompt.
 *
 * @param model the name of the model
 * @param promptTokens the number of tokens of the prompt
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param blocks the blocks in order; the last one belongs to the request or its session and is not shared
 */
public record PromptShape(String model, int promptTokens, int maxOutputTokens, List<PromptBlock> blocks) {
    /** Returns the blocks that other requests may share, in order. */
    public List<PromptBlock> sharedBlocks() {
        return blocks.subList(0, Math.max(0, blocks.size() - 1));
    }

    /** Returns the number of tokens in the blocks that other requests may share. */
    public int sharedTokens() {
        return sharedBlocks().stream().mapToInt(PromptBlock::tokens).sum();
    }

    /**
     * Returns the id of the largest shared block, or an empty string if there is none.
     *
     * <p>Requests with the same key are preferably sent to the same engine.
     */
    public String affinityKey() {
        return sharedBlocks().stream()
                .max((a, b) -> Integer.compare(a.tokens(), b.tokens()))
                .map(PromptBlock::id)
                .orElse("");
    }
}
