package org.verbenatray.placement;

import java.util.Optional;
import org.verbenatray.backends.Backend;

/**
 * Where a prompt is processed.
 *
 * @param engine the engine that processes it; empty where there is none
 * @param handover whether that engine hands it over to a decode engine
 * @param fetchFrom the engine that keeps more of the prompt and hands it to the first one; empty for none
 * @param tokens the prompt tokens that the engine is expected to process
 * @param waitMillis the expected time in milliseconds that it waits for other prompts
 * @param firstTokenMillis the expected time to the first token in milliseconds
 */
public record EnginePlan(
        Optional<Backend> engine,
        boolean handover,
        Optional<Backend> fetchFrom,
        int tokens,
        double waitMillis,
        double firstTokenMillis) {}
