package org.verbenatray.scheduling;

/** Computes the priority of a request in the queue of an engine, from 0 (first) to 9 (last). */
public final class EnginePriority {
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
    public static int prefilled() {
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

    /**
     * Returns the priority of a request whose prompt an engine has to process.
     *
     * @param priority the priority of the request, zero being the highest
     * @param deferred whether its prompt runs only when no other prompt waits
     * @param retry whether its caller asks again
     */
    public static int ofPrompt(int priority, boolean deferred, boolean retry) {
        if (!deferred) {
            return regular(priority);
        }
        return retry ? deferredRetry() : deferred(priority);
    }
}
