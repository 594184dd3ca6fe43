package org.verbenatray.placement;

import java.util.Optional;
import org.verbenatray.backends.Backend;

/**
 * Where a generation runs.
 *
 * @param prefill the engine that processes the prompt first; empty where the decode engine does it itself
 * @param prefillTokens the prompt tokens that the first engine is expected to process
 * @param decode the decode engine that processes the prompt itself; empty where any one may be taken
 * @param firstTokenMillis the expected time to the first token in milliseconds
 */
public record EnginePlan(
        Optional<Backend> prefill, int prefillTokens, Optional<Backend> decode, double firstTokenMillis) {}
