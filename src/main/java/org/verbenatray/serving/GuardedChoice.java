package org.verbenatray.serving;

import org.verbenatray.time.Deadline;

/** What a request has to do next. */
sealed interface GuardedChoice {
    /**
     * It is sent.
     *
     * @param slot the chosen engine, against which the dispatch is counted
     */
    record Send(EngineSlot slot) implements GuardedChoice {}

    /**
     * It asks again later.
     *
     * @param askAgain the time from which to ask
     */
    record Wait(Deadline askAgain) implements GuardedChoice {}

    /**
     * It gets its final answer.
     *
     * @param refusal the answer
     */
    record Refuse(Refusal refusal) implements GuardedChoice {}

    /** No engine can take it now. */
    record NoEngine() implements GuardedChoice {}
}
