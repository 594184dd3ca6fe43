package org.verbenatray.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** What this instance believes each engine keeps of the prompts that it sent there; used on one thread. */
public final class PrefixMemory {
    /** The largest number of prompt beginnings remembered per engine. */
    private static final int MAX_PER_ENGINE = 512;

    /** The tokens by the chained name of a prompt's beginning, by engine. */
    private final Map<String, LinkedHashMap<String, Integer>> byBoot = new HashMap<>();

    /** Creates an empty memory. */
    private PrefixMemory() {}

    /** Returns an empty memory. */
    public static PrefixMemory empty() {
        return new PrefixMemory();
    }

    /** Notes that an engine has processed the shared parts of a prompt. */
    public void processed(String boot, PromptShape prompt, long cacheTokens) {
        LinkedHashMap<String, Integer> kept = byBoot.computeIfAbsent(boot, key -> new LinkedHashMap<>(64, 0.75f, true));
        String chain = "";
        for (PromptPart part : prompt.parts()) {
            chain = chain + "/" + part.id();
            kept.put(chain, part.tokens());
        }
        trim(kept, cacheTokens);
    }

    /** Returns the tokens at the beginning of a prompt that an engine is believed to keep. */
    public int cached(String boot, PromptShape prompt) {
        Map<String, Integer> kept = byBoot.get(boot);
        if (kept == null) {
            return 0;
        }
        int tokens = 0;
        String chain = "";
        for (PromptPart part : prompt.parts()) {
            chain = chain + "/" + part.id();
            if (!kept.containsKey(chain)) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Forgets an engine that has ended. */
    public void forget(String boot) {
        byBoot.remove(boot);
    }

    /** Drops the least recently used beginnings beyond the engine's memory. */
    private static void trim(LinkedHashMap<String, Integer> kept, long cacheTokens) {
        long total = kept.values().stream().mapToLong(Integer::longValue).sum();
        var eldest = kept.entrySet().iterator();
        while (eldest.hasNext() && (total > cacheTokens || kept.size() > MAX_PER_ENGINE)) {
            total -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
