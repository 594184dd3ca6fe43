package org.verbenatray.standin.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * LRU cache of the prompt blocks whose KV cache an engine keeps. A block has a fixed number of tokens and is identified
 * by its chained hash. Not thread-safe.
 */
final class PrefixCache {
    private final int capacity;

    /** The hashes of the cached blocks in access order, least recently used first. */
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    private final int blockTokens;

    /** The sequence number of the next cache event. */
    private long nextEventSequence;

    PrefixCache(int capacity, int blockTokens) {
        this.capacity = capacity;
        this.blockTokens = blockTokens;
    }

    /** Returns the number of tokens in the longest cached prefix and marks its blocks as recently used. */
    int matchPrefixTokens(List<Long> hashes) {
        int count = 0;
        while (count < hashes.size() && blocks.get(hashes.get(count)) != null) {
            count++;
        }
        return count * blockTokens;
    }

    /**
     * Adds the blocks that were completed between two token positions of a prompt, evicts blocks beyond the capacity
     * and returns the resulting events.
     */
    List<EngineEvent> addCompletedBlocks(List<Long> hashes, int fromTokens, int toTokens, long nowNanos) {
        List<EngineEvent> events = new ArrayList<>();
        int last = Math.min(toTokens / blockTokens, hashes.size());
        for (int block = fromTokens / blockTokens; block < last; block++) {
            long hash = hashes.get(block);
            if (blocks.put(hash, true) == null) {
                events.add(new EngineEvent.BlockCached(nowNanos, nextEventSequence++, hash));
            }
            if (blocks.size() > capacity) {
                long oldest = blocks.keySet().iterator().next();
                blocks.remove(oldest);
                events.add(new EngineEvent.BlockEvicted(nowNanos, nextEventSequence++, oldest));
            }
        }
        return events;
    }

    /** Returns the number of cached blocks. */
    int size() {
        return blocks.size();
    }

    /** Removes all blocks without emitting events. */
    void clear() {
        blocks.clear();
    }
}
