package org.verbenatray.scheduling;

import java.util.OptionalLong;
import org.verbenatray.placement.PrefillPlan;

/**
 * What is done with a prompt.
 *
 * @param plan where it is processed, and when it is expected to be
 * @param retryAfterMillis after which time its caller should come back, in milliseconds, as it would come too late;
 *     empty if it is sent
 */
public record PromptDecision(PrefillPlan plan, OptionalLong retryAfterMillis) {
    /** Returns the decision to send a prompt. */
    static PromptDecision send(PrefillPlan plan) {
        return new PromptDecision(plan, OptionalLong.empty());
    }

    /** Returns the decision to refuse a prompt. */
    static PromptDecision refuse(PrefillPlan plan, long retryAfterMillis) {
        return new PromptDecision(plan, OptionalLong.of(retryAfterMillis));
    }
}
