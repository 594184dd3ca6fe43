package org.verbenatray.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An index of the prompt blocks in the prefix caches of the engines, by the chained hashes of {@link PromptBlocks}.
 *
 * <p>The number of blocks per engine is limited; the least recently used blocks are removed first. Thread-safe.
 */
public final class PrefixIndex {
    /** The default limit on the blocks per engine: the capacity of a KV cache of about 500,000 tokens. */
    public static final int DEFAULT_BLOCKS_PER_ENGINE = 256;

    /** The divisor applied to the cached tokens of an engine of which events were missed. */
    private static final int MISSED_EVENTS_DIVISOR = 2;

    /** The maximum number of engines examined per block in the search for the longest matches. */
    private static final int MAX_HOLDERS_SCANNED = 64;

    private final int blocksPerEngine;

    private final Map<String, EngineBlocks> engines = new HashMap<>();

    /** The engines that hold a block, by the hash of the block. */
    private final Map<Long, Set<String>> holders = new HashMap<>();

    private PrefixIndex(int blocksPerEngine) {
        this.blocksPerEngine = blocksPerEngine;
    }

    /** Returns an empty index with the given limit on the blocks per engine. */
    public static PrefixIndex create(int blocksPerEngine) {
        return new PrefixIndex(blocksPerEngine);
    }

    /**
     * Applies a cache event of an engine.
     *
     * <p>An event that was already applied or superseded is ignored. A gap in the sequence marks the engine as having
     * missed events until its next complete list.
     */
    public synchronized void onEvent(String engine, CacheEvent event) {
        EngineBlocks blocks = blocksOfIncarnation(engine, event.incarnation());
        if (blocks.incarnation > event.incarnation() || blocks.sequence >= event.sequence()) {
            return;
        }
        if (blocks.sequence + 1 != event.sequence()) {
            blocks.missedEvents = true;
        }
        blocks.sequence = event.sequence();
        event.evicted().forEach(hash -> removeBlock(engine, blocks, hash));
        event.added().forEach(hash -> addBlock(engine, blocks, hash));
    }

    /** Replaces the blocks of an engine by its complete list, which includes the events up to {@code sequence}. */
    public synchronized void onResync(String engine, long incarnation, long sequence, List<Long> held) {
        removeEngine(engine);
        EngineBlocks blocks = new EngineBlocks();
        blocks.incarnation = incarnation;
        blocks.sequence = sequence;
        engines.put(engine, blocks);
        held.forEach(hash -> addBlock(engine, blocks, hash));
    }

    /** Adds the blocks of a prompt that was sent to the engine, before the engine reports them. */
    public synchronized void onDispatch(String engine, List<Long> hashes) {
        EngineBlocks blocks = engines.computeIfAbsent(engine, name -> new EngineBlocks());
        hashes.forEach(hash -> addBlock(engine, blocks, hash));
    }

    /** Removes an engine, because it was restarted or removed from the fleet. */
    public synchronized void removeEngine(String engine) {
        EngineBlocks blocks = engines.remove(engine);
        if (blocks != null) {
            blocks.held.keySet().forEach(hash -> removeHolder(engine, hash));
        }
    }

    /** Returns whether events of the engine were missed since its last complete list. */
    public synchronized boolean hasMissedEvents(String engine) {
        EngineBlocks blocks = engines.get(engine);
        return blocks != null && blocks.missedEvents;
    }

    /** Returns the expected number of prompt tokens in the engine's prefix cache; halved if events were missed. */
    public synchronized int cachedTokens(String engine, List<Long> hashes, int promptTokens) {
        EngineBlocks blocks = engines.get(engine);
        if (blocks == null) {
            return 0;
        }
        long tokens = (long) countLeading(blocks, hashes) * PromptBlocks.BLOCK_TOKENS;
        if (blocks.missedEvents) {
            tokens /= MISSED_EVENTS_DIVISOR;
        }
        return (int) Math.min(promptTokens, tokens);
    }

    /** Returns the engines with the most leading blocks of a prompt, longest match first, up to the limit. */
    public synchronized List<PrefixHit> longestMatches(List<Long> hashes, int limit) {
        List<PrefixHit> matches = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (int last = hashes.size() - 1; last >= 0 && matches.size() < limit; last--) {
            Iterator<String> names =
                    holders.getOrDefault(hashes.get(last), Set.of()).iterator();
            for (int read = 0; read < MAX_HOLDERS_SCANNED && matches.size() < limit && names.hasNext(); read++) {
                String engine = names.next();
                if (!seen.contains(engine) && countLeading(engines.get(engine), hashes) == last + 1) {
                    seen.add(engine);
                    matches.add(new PrefixHit(engine, last + 1));
                }
            }
        }
        return matches;
    }

    /** Returns the total number of blocks over all engines. */
    public synchronized int size() {
        return engines.values().stream().mapToInt(blocks -> blocks.held.size()).sum();
    }

    /** Returns the blocks of an engine, after removing those of an incarnation older than the given one. */
    private EngineBlocks blocksOfIncarnation(String engine, long incarnation) {
        EngineBlocks blocks = engines.get(engine);
        if (blocks != null && blocks.incarnation < incarnation && blocks.sequence >= 0) {
            removeEngine(engine);
            blocks = null;
        }
        if (blocks == null) {
            blocks = new EngineBlocks();
            engines.put(engine, blocks);
        }
        blocks.incarnation = Math.max(blocks.incarnation, incarnation);
        return blocks;
    }

    /** Returns the number of leading hashes that the engine holds without a gap. */
    private static int countLeading(EngineBlocks blocks, List<Long> hashes) {
        int count = 0;
        while (count < hashes.size() && blocks.held.containsKey(hashes.get(count))) {
            count++;
        }
        return count;
    }

    /** Adds a block or marks it as recently used, and removes the oldest block above the limit. */
    private void addBlock(String engine, EngineBlocks blocks, Long hash) {
        blocks.held.put(hash, Boolean.TRUE);
        holders.computeIfAbsent(hash, key -> new LinkedHashSet<>()).add(engine);
        if (blocks.held.size() > blocksPerEngine) {
            Long oldest = blocks.held.keySet().iterator().next();
            removeBlock(engine, blocks, oldest);
        }
    }

    private void removeBlock(String engine, EngineBlocks blocks, Long hash) {
        blocks.held.remove(hash);
        removeHolder(engine, hash);
    }

    /** Removes an engine from the holders of a block. */
    private void removeHolder(String engine, Long hash) {
        Set<String> names = holders.get(hash);
        if (names == null) {
            return;
        }
        names.remove(engine);
        if (names.isEmpty()) {
            holders.remove(hash);
        }
    }

    /** The blocks in the prefix cache of one engine. */
    private static final class EngineBlocks {
        /** The hashes of the held blocks, least recently used first. */
        private final Map<Long, Boolean> held = new LinkedHashMap<>(16, 0.75f, true);

        /** The incarnation of the last event. */
        private long incarnation;

        /** The sequence number of the last event, -1 before the first. */
        private long sequence = -1;

        private boolean missedEvents;
    }
}
