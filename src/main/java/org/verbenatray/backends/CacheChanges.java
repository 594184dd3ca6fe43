package org.verbenatray.backends;

import java.util.List;

/**
 * What changed in the memory of an engine.
 *
 * @param epoch the start of the engine's count, which changes when the engine restarts
 * @param next the number from which the next changes are asked for
 * @param gap whether changes are missing
 * @param changes the changes in their order
 */
public record CacheChanges(String epoch, long next, boolean gap, List<Change> changes) {
    /**
     * A change of one part.
     *
     * @param part the name of the part
     * @param tokens the tokens of it that are kept now, zero where it was dropped
     */
    public record Change(String part, int tokens) {}
}
