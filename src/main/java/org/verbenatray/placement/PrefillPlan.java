package org.verbenatray.placement;

import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PrefillWork;

/**
 * The engine chosen for the prefill of a prompt, with the expected cost.
 *
 * @param engine the engine that prefills the prompt; empty if there is none
 * @param handover true if that engine hands the prompt over to a decode engine
 * @param fetchFrom the engine from which to fetch a longer cached prefix of the prompt; empty if nothing is fetched
 * @param cachedTokens the number of prompt tokens that are cached or fetched and need no prefill
 * @param work the prefill work that remains
 * @param expectedWaitMillis the expected time for which the prompt waits for other prompts, in milliseconds
 * @param expectedFirstTokenMillis the expected time to the first token, in milliseconds
 */
public record PrefillPlan(
        Optional<Backend> engine,
        boolean handover,
        Optional<Backend> fetchFrom,
        int cachedTokens,
        PrefillWork work,
        double expectedWaitMillis,
        double expectedFirstTokenMillis) {
    /** Returns the plan for a prompt for which no engine is available. */
    static PrefillPlan none() {
        return new PrefillPlan(Optional.empty(), false, Optional.empty(), 0, PrefillWork.NONE, 0, 0);
    }
}
