package org.verbenatray.relay;

import org.verbenatray.placement.PrefillPlan;

/** Computes the priority of a request in the queue of an engine, from 0 (first) to 9 (last). */
final class EnginePriority {
    /**
     * Priority of a prompt that another engine has prefilled: it occupies memory on two engines and needs little work.
     */
    private static final int PREFILLED = 0;

    /** Lowest priority of requests that are not deferred. */
    private static final int LAST_REGULAR = 4;

    /** Priority of a deferred request that is a retry of its caller: it was rejected before. */
    private static final int DEFERRED_RETRY = 5;

    /** Lowest priority that engines accept. */
    private static final int LOWEST = 9;

    private EnginePriority() {}

    /** Returns the priority of a request whose prompt another engine has prefilled. */
    static int prefilled() {
        return PREFILLED;
    }

    /** Returns the priority of a request that is not deferred, given the priority of its route. */
    static int regular(int routePriority) {
        return Math.min(LAST_REGULAR, PREFILLED + 1 + routePriority);
    }

    /** Returns the priority of a deferred request that is a retry of its caller. */
    static int deferredRetry() {
        return DEFERRED_RETRY;
    }

    /** Returns the priority of a deferred first attempt, given the priority of its route. */
    static int deferred(int routePriority) {
        return Math.min(LOWEST, DEFERRED_RETRY + 1 + routePriority);
    }

    /** Returns the priority of a request that an engine has to prefill; the plan is null if there is none. */
    static int ofPrompt(RelayCall call, PrefillPlan plan) {
        int priority = call.priority();
        if (plan == null || !plan.work().deferred()) {
            return regular(priority);
        }
        return call.times().millisSinceFirstAttempt() > 0 ? deferredRetry() : deferred(priority);
    }
}
