package org.verbenatray.routing;

import java.util.Optional;

/**
 * The engines chosen for a request.
 *
 * @param engine the engine that generates the tokens
 * @param prefillEngine the other engine that processes the prompt first and exports its KV cache, where that is cheaper
 * @param cachedTokens the prompt tokens that are expected to be in the prefilling engine's cache
 * @param firstTokenMillis the expected time to the first token in milliseconds
 * @param betweenTokensMillis the expected time between tokens in milliseconds
 */
public record Route(
        String engine,
        Optional<String> prefillEngine,
        int cachedTokens,
        double firstTokenMillis,
        double betweenTokensMillis) {}
