package org.verbenatray.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenatray.backends.CacheChanges;

/**
 * An index of the prompt blocks that each engine is expected to have in its prefix cache.
 *
 * <p>It combines the changes that the engines report, which arrive late and with gaps, with the prompts that this and
 * other instances have sent to them since. Entries are estimates: a block may have been evicted. Engines are identified
 * by their boot ids. Not thread-safe: all calls come from one thread.
 */
public final class PrefixCacheIndex {
    /** The maximum number of blocks per engine; the oldest are removed first. */
    private static final int MAX_BLOCKS = 8_192;

    /** The cached tokens of each block by boot id, then by block id. */
    private final Map<String, LinkedHashMap<String, Integer>> cached = new HashMap<>();

    /** The tokens of each block that an engine was assigned and may not have processed yet, by boot id. */
    private final Map<String, LinkedHashMap<String, Integer>> assigned = new HashMap<>();

    /** The position up to which the changes of each engine were read, by boot id. */
    private final Map<String, Position> positions = new HashMap<>();

    private PrefixCacheIndex() {}

    /** Creates an empty index. */
    public static PrefixCacheIndex empty() {
        return new PrefixCacheIndex();
    }

    /** Returns the number from which to request the next changes of an engine. */
    public long nextChangeNumber(String bootId) {
        Position position = positions.get(bootId);
        return position == null ? 0 : position.next();
    }

    /** Applies reported changes; after a gap or a new epoch the earlier entries of the engine are discarded. */
    public void applyChanges(String bootId, CacheChanges changes) {
        Position known = positions.get(bootId);
        if (changes.gap() || known != null && !known.epoch().equals(changes.epoch())) {
            cached.remove(bootId);
            assigned.remove(bootId);
        }
        positions.put(bootId, new Position(changes.epoch(), changes.nextChangeNumber()));
        Map<String, Integer> blocks = cachedBlocks(bootId);
        Map<String, Integer> pending = assigned.getOrDefault(bootId, new LinkedHashMap<>());
        for (CacheChanges.Change change : changes.changes()) {
            blocks.remove(change.block());
            pending.remove(change.block());
            if (change.tokens() > 0) {
                blocks.put(change.block(), change.tokens());
            }
        }
    }

    /** Applies changes that another instance has read, unless later ones are known. */
    public void applyPeerChanges(String bootId, CacheChanges changes) {
        Position known = positions.get(bootId);
        boolean outdated =
                known != null && known.epoch().equals(changes.epoch()) && known.next() >= changes.nextChangeNumber();
        if (!outdated) {
            applyChanges(bootId, changes);
        }
    }

    /** Records that an engine was assigned a prompt, which it caches once it has processed it. */
    public void recordAssigned(String bootId, PromptShape prompt) {
        Map<String, Integer> blocks = blocksOf(assigned, bootId);
        prompt.blocks().forEach(block -> blocks.put(block.id(), block.tokens()));
    }

    /** Records that an engine has cached a prompt, which it processed or fetched from another engine. */
    public void recordCached(String bootId, PromptShape prompt) {
        Map<String, Integer> pending = assigned.getOrDefault(bootId, new LinkedHashMap<>());
        Map<String, Integer> blocks = cachedBlocks(bootId);
        prompt.blocks().forEach(block -> {
            blocks.put(block.id(), block.tokens());
            pending.remove(block.id());
        });
    }

    /** Records blocks of a prompt that an engine was assigned or has processed, as reported by another instance. */
    public void recordReported(String bootId, boolean processed, Map<String, Integer> tokens) {
        blocksOf(processed ? cached : assigned, bootId).putAll(tokens);
    }

    /** Returns the length of the prefix of a prompt that an engine has cached and can hand to others, in tokens. */
    public int cachedTokens(String bootId, PromptShape prompt) {
        return prefixTokens(prompt, cached.getOrDefault(bootId, new LinkedHashMap<>()), Map.of());
    }

    /**
     * Returns the expected length of the cached prefix when the engine starts to process the prompt, in tokens.
     *
     * <p>It includes the blocks that the engine was assigned before and has not processed yet.
     */
    public int expectedCachedTokens(String bootId, PromptShape prompt) {
        return prefixTokens(
                prompt,
                cached.getOrDefault(bootId, new LinkedHashMap<>()),
                assigned.getOrDefault(bootId, new LinkedHashMap<>()));
    }

    /** Removes an engine that has ended. */
    public void removeEngine(String bootId) {
        cached.remove(bootId);
        assigned.remove(bootId);
        positions.remove(bootId);
    }

    /** Returns the length of the prefix of a prompt whose blocks are in either of two maps, in tokens. */
    private static int prefixTokens(PromptShape prompt, Map<String, Integer> first, Map<String, Integer> second) {
        int tokens = 0;
        for (PromptBlock block : prompt.blocks()) {
            int known = Math.max(first.getOrDefault(block.id(), 0), second.getOrDefault(block.id(), 0));
            int matched = Math.min(block.tokens(), known);
            tokens += matched;
            if (matched < block.tokens()) {
                break;
            }
        }
        return tokens;
    }

    /** Returns the cached blocks of an engine. */
    private Map<String, Integer> cachedBlocks(String bootId) {
        return blocksOf(cached, bootId);
    }

    /** Returns the bounded map of the blocks of an engine, which is added if it is missing. */
    private static Map<String, Integer> blocksOf(Map<String, LinkedHashMap<String, Integer>> map, String bootId) {
        return map.computeIfAbsent(bootId, key -> new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                return size() > MAX_BLOCKS;
            }
        });
    }

    /**
     * The position up to which the changes of an engine were read.
     *
     * @param epoch the epoch of the numbering
     * @param next the number of the next change
     */
    private record Position(String epoch, long next) {}
}
