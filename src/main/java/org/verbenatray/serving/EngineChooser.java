package org.verbenatray.serving;

import java.util.Optional;
import java.util.Set;

/** Chooses an engine for a request and counts the dispatch against it. */
@FunctionalInterface
public interface EngineChooser {
    /**
     * Returns a dispatch that already counts as load of its engines, or empty if no engine is available. The caller
     * must report the end of the dispatch.
     *
     * @param emittedTokens the number of tokens of the response that were relayed before
     * @param excluded the engines that must not be chosen
     * @param required the only engine that may be chosen, empty for any
     */
    Optional<EngineDispatch> choose(
            CompletionRequest request, int emittedTokens, Set<String> excluded, Optional<String> required);
}
