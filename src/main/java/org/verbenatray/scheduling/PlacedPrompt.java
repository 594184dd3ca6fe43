package org.verbenatray.scheduling;

import java.util.function.Consumer;

/**
 * A decision about a prompt, and who wants to know what becomes of it.
 *
 * @param decision the decision
 * @param decidedBy the name of the instance that has decided; empty for this one
 * @param onEnd receives the outcome, once
 */
public record PlacedPrompt(PromptDecision decision, String decidedBy, Consumer<PromptOutcome> onEnd) {
    /** Returns a decision whose outcome nobody wants to know. */
    static PlacedPrompt untracked(PromptDecision decision) {
        return new PlacedPrompt(decision, "", outcome -> {});
    }

    /** Returns this decision after its outcome was told. */
    public PlacedPrompt ended() {
        return new PlacedPrompt(decision, decidedBy, outcome -> {});
    }
}
