package org.verbenatray.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.verbenatray.backends.CacheChanges;

/**
 * What each engine is believed to keep of prompts: what it tells, late and with gaps, and what this instance sent there
 * since; used on one thread.
 */
public final class PrefixMemory {
    /** The largest number of parts remembered per engine; the oldest are forgotten. */
    private static final int MAX_PARTS = 8_192;

    /** The tokens of each part by engine. */
    private final Map<String, LinkedHashMap<String, Integer>> byBoot = new HashMap<>();

    /** The tokens of each part that an engine was given and may not have processed yet, by engine. */
    private final Map<String, LinkedHashMap<String, Integer>> given = new HashMap<>();

    /** How far the changes of each engine were read. */
    private final Map<String, Position> positions = new HashMap<>();

    /** Creates an empty memory. */
    private PrefixMemory() {}

    /** Returns an empty memory. */
    public static PrefixMemory empty() {
        return new PrefixMemory();
    }

    /** Returns the number from which the changes of an engine are asked for. */
    public long position(String boot) {
        Position position = positions.get(boot);
        return position == null ? 0 : position.next();
    }

    /** Takes what an engine tells. */
    public void changed(String boot, CacheChanges changes) {
        Position known = positions.get(boot);
        if (changes.gap() || known != null && !known.epoch().equals(changes.epoch())) {
            byBoot.remove(boot);
            given.remove(boot);
        }
        positions.put(boot, new Position(changes.epoch(), changes.next()));
        Map<String, Integer> parts = parts(boot);
        Map<String, Integer> waiting = given.getOrDefault(boot, new LinkedHashMap<>());
        for (CacheChanges.Change change : changes.changes()) {
            parts.remove(change.part());
            waiting.remove(change.part());
            if (change.tokens() > 0) {
                parts.put(change.part(), change.tokens());
            }
        }
    }

    /** Notes that an engine was given a prompt, which it keeps once it has processed it. */
    public void given(String boot, PromptShape prompt) {
        Map<String, Integer> parts = partsOf(given, boot);
        prompt.parts().forEach(part -> parts.put(part.id(), part.tokens()));
    }

    /** Notes that an engine has processed a prompt or taken it from another engine. */
    public void processed(String boot, PromptShape prompt) {
        Map<String, Integer> waiting = given.getOrDefault(boot, new LinkedHashMap<>());
        Map<String, Integer> parts = parts(boot);
        prompt.parts().forEach(part -> {
            parts.put(part.id(), part.tokens());
            waiting.remove(part.id());
        });
    }

    /** Takes the news of another instance that an engine was given parts of a prompt, or has processed them. */
    public void told(String boot, boolean processed, Map<String, Integer> tokens) {
        partsOf(processed ? byBoot : given, boot).putAll(tokens);
    }

    /** Returns the tokens at the beginning of a prompt that an engine is believed to keep and hand to others. */
    public int cached(String boot, PromptShape prompt) {
        return leading(prompt, byBoot.getOrDefault(boot, new LinkedHashMap<>()), Map.of());
    }

    /** Returns the tokens at the beginning of a prompt that an engine keeps by the time that it comes to the prompt. */
    public int expected(String boot, PromptShape prompt) {
        return leading(
                prompt,
                byBoot.getOrDefault(boot, new LinkedHashMap<>()),
                given.getOrDefault(boot, new LinkedHashMap<>()));
    }

    /** Forgets an engine that has ended. */
    public void forget(String boot) {
        byBoot.remove(boot);
        given.remove(boot);
        positions.remove(boot);
    }

    /** Returns the tokens at the beginning of a prompt that are among some parts or others. */
    private static int leading(PromptShape prompt, Map<String, Integer> some, Map<String, Integer> others) {
        int tokens = 0;
        for (PromptPart part : prompt.parts()) {
            int known = Math.max(some.getOrDefault(part.id(), 0), others.getOrDefault(part.id(), 0));
            int kept = Math.min(part.tokens(), known);
            tokens += kept;
            if (kept < part.tokens()) {
                break;
            }
        }
        return tokens;
    }

    /** Returns the parts that an engine keeps. */
    private Map<String, Integer> parts(String boot) {
        return partsOf(byBoot, boot);
    }

    /** Returns the parts of an engine in a map by engine. */
    private static Map<String, Integer> partsOf(Map<String, LinkedHashMap<String, Integer>> map, String boot) {
        return map.computeIfAbsent(boot, key -> new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                return size() > MAX_PARTS;
            }
        });
    }

    /**
     * How far the changes of an engine were read.
     *
     * @param epoch the start of the engine's count
     * @param next the number of the next change
     */
    private record Position(String epoch, long next) {}
}
