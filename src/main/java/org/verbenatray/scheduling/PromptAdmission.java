package org.verbenatray.scheduling;

import org.verbenatray.placement.PrefillPlan;

/**
 * Decides whether a prompt is scheduled with regular priority, deferred, or rejected because it is expected too late.
 * Used on one thread.
 */
final class PromptAdmission {
    /**
     * Largest expected queueing time of a deferred prompt, as a share of the first-event timeout. Well below one, since
     * later prompts overtake a deferred one.
     */
    private static final double MAX_DEFERRED_WAIT_SHARE = 0.27;

    /** Largest expected time to first token of a deferred prompt, as a share of the first-event timeout. */
    private static final double MAX_FIRST_TOKEN_SHARE = 0.9;

    /** A prompt is large if its own prefill, without queueing, takes more than this share of the latency target. */
    private static final double LARGE_PROMPT_TARGET_SHARE = 0.5;

    private PromptAdmission() {}

    /**
     * Decides whether the prompt is scheduled with regular priority instead of being deferred, and records the
     * decision. Regular are prompts expected within the target, and large ones that would otherwise get less than their
     * share.
     */
    static boolean admitRegular(PromptRequest request, PrefillPlan plan, LargePromptShare largePrompts) {
        boolean onTime = isOnTime(request, plan);
        boolean large = plan.expectedFirstTokenMillis() - plan.expectedWaitMillis()
                > LARGE_PROMPT_TARGET_SHARE * request.targetMillis();
        if (large) {
            return largePrompts.admitLarge(onTime);
        }
        largePrompts.recordOther(onTime);
        return onTime;
    }

    /** Returns whether the first token of a prompt is expected within its target. */
    static boolean isOnTime(PromptRequest request, PrefillPlan plan) {
        double expectedMillis = request.elapsedMillis() + plan.expectedFirstTokenMillis();
        return request.sinceFirstAttemptMillis() + expectedMillis <= request.targetMillis();
    }

    /**
     * Returns by how many milliseconds a deferred prompt exceeds its limits; zero or less if it is expected in time.
     */
    static double excessDelayMillis(PromptRequest request, PrefillPlan plan) {
        double limitMillis = request.timeoutMillis();
        return request.elapsedMillis()
                + Math.max(
                        plan.expectedWaitMillis() - MAX_DEFERRED_WAIT_SHARE * limitMillis,
                        plan.expectedFirstTokenMillis() - MAX_FIRST_TOKEN_SHARE * limitMillis);
    }
}
