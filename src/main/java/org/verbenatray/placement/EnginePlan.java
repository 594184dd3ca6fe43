package org.verbenatray.placement;

import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.PromptWork;

/**
 * Where a prompt is processed.
 *
 * @param engine the engine that processes it; empty where there is none
 * @param handover whether that engine hands it over to a decode engine
 * @param fetchFrom the engine that keeps more of the prompt and hands it to the first one; empty for none
 * @param keptTokens the tokens at its beginning that need no processing
 * @param work the processing
 * @param waitMillis the expected time in milliseconds that it waits for other prompts
 * @param firstTokenMillis the expected time to the first token in milliseconds
 */
public record EnginePlan(
        Optional<Backend> engine,
        boolean handover,
        Optional<Backend> fetchFrom,
        int keptTokens,
        PromptWork work,
        double waitMillis,
        double firstTokenMillis) {
    /** Returns the plan of a prompt for which there is no engine. */
    static EnginePlan none() {
        return new EnginePlan(Optional.empty(), false, Optional.empty(), 0, PromptWork.NONE, 0, 0);
    }
}
