package org.verbenatray.fleet;

import java.util.List;

/**
 * A change of an engine's prefix cache.
 *
 * @param incarnation a number that increases with each start of the engine
 * @param sequence the number of the event, which starts at zero and increases by one within one incarnation
 * @param added the chained hashes of the added prompt blocks, see {@link PromptBlocks}
 * @param evicted the chained hashes of the evicted prompt blocks
 */
public record CacheEvent(long incarnation, long sequence, List<Long> added, List<Long> evicted) {}
