package org.verbenatray.routing;

import java.util.Optional;

/**
 * The engines that were chosen for a request, with the expected latency.
 *
 * @param decodeEngine the engine that generates the output
 * @param prefillEngine the engine that processes the prompt and exports its KV cache, empty when the decode engine also
 *     prefills
 * @param cachedTokens the prompt tokens that are expected to be in the prefix cache of the engine that prefills
 * @param firstTokenMillis the expected time to first token in milliseconds
 * @param betweenTokensMillis the expected time between tokens in milliseconds
 */
public record EngineRoute(
        String decodeEngine,
        Optional<String> prefillEngine,
        int cachedTokens,
        double firstTokenMillis,
        double betweenTokensMillis) {}
