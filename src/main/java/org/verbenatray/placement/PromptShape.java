package org.verbenatray.placement;

import java.util.List;

/**
 * The size of a generation and the parts that its prompt is made of.
 *
 * @param model the name of the model
 * @param promptTokens the tokens of the prompt
 * @param maxOutputTokens the largest number of tokens to generate
 * @param parts the parts in order; the last one belongs to the request or its session
 */
public record PromptShape(String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {
    /** Returns the tokens that other requests may share. */
    public int sharedTokens() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToInt(PromptPart::tokens)
                .sum();
    }

    /** Returns the name of the largest shared part, by which requests are kept together; empty without one. */
    public String affinityKey() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .max((a, b) -> Integer.compare(a.tokens(), b.tokens()))
                .map(PromptPart::id)
                .orElse("");
    }
}
