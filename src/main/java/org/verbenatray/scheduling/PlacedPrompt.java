package org.verbenatray.scheduling;

import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * A decision about a prompt, and who wants to know when its engine is done with it.
 *
 * @param decision the decision
 * @param onProcessed receives, once, the time in milliseconds that the engine has taken; empty if the prompt was not
 *     sent, or the engine has not processed it
 */
public record PlacedPrompt(PromptDecision decision, Consumer<OptionalDouble> onProcessed) {
    /** Returns a decision whose outcome nobody wants to know. */
    static PlacedPrompt untracked(PromptDecision decision) {
        return new PlacedPrompt(decision, millis -> {});
    }
}
