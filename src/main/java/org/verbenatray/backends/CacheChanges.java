package org.verbenatray.backends;

import java.util.List;

/**
 * A batch of changes to the prefix cache of an engine.
 *
 * @param epoch an identifier of the numbering of the changes, which differs after a restart of the engine
 * @param nextChangeNumber the number from which to request the next batch
 * @param gap true if changes before this batch are missing
 * @param changes the changes in the order in which they happened
 */
public record CacheChanges(String epoch, long nextChangeNumber, boolean gap, List<Change> changes) {
    /**
     * A change of one cached prompt block.
     *
     * @param block the id of the block
     * @param tokens the number of tokens of the block that are cached now, zero if it was evicted
     */
    public record Change(String block, int tokens) {}
}
