package org.verbenatray.serving;

import java.util.Optional;
import java.util.Set;

/** Chooses an engine for a request and counts the dispatch against it. */
@FunctionalInterface
public interface EngineChooser {
    /**
     * Returns a slot, or empty when no engine may take the request now.
     *
     * @param emittedTokens the tokens of the answer that were relayed before
     * @param barred the engines that must not be chosen
     * @param only the one engine that may be chosen, empty for any
     */
    Optional<EngineSlot> choose(
            CompletionRequest request, int emittedTokens, Set<String> barred, Optional<String> only);
}
