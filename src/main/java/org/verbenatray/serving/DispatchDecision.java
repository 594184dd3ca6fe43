package org.verbenatray.serving;

import org.verbenatray.time.Deadline;

/** The decision of {@link SuspectGuard} on the next step of a request. */
sealed interface DispatchDecision {
    /**
     * The request is sent.
     *
     * @param dispatch the dispatch to the chosen engine, which already counts as its load
     */
    record Send(EngineDispatch dispatch) implements DispatchDecision {}

    /**
     * The request waits.
     *
     * @param retryAt the time at which to request the next decision
     */
    record Wait(Deadline retryAt) implements DispatchDecision {}

    /**
     * The request is rejected.
     *
     * @param refusal the response to the caller
     */
    record Reject(Refusal refusal) implements DispatchDecision {}

    /** No engine is available. */
    record NoEngine() implements DispatchDecision {}
}
