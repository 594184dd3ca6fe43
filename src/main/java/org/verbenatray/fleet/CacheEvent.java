package org.verbenatray.fleet;

import java.util.List;

/**
 * A change of an engine's prefix cache.
 *
 * @param incarnation a number that grows with each start of the engine
 * @param sequence a number that starts at zero and grows by one with each event of one incarnation
 * @param added the chained hashes of the pieces that were added
 * @param evicted the chained hashes of the pieces that were evicted
 */
public record CacheEvent(long incarnation, long sequence, List<Long> added, List<Long> evicted) {}
