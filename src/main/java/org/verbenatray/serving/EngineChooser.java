package org.verbenatray.serving;

import java.util.Optional;
import java.util.Set;

/** Chooses an engine for a request and counts the dispatch against it. */
@FunctionalInterface
public interface EngineChooser {
    /** Returns a slot, or empty when no engine may take the request now. */
    Optional<EngineSlot> choose(CompletionRequest request, int emittedTokens, Set<String> barred);
}
