package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.LoadDelta;

/** Recognises relayed messages that arrived before over another link. Not thread-safe. */
final class FloodFilter {
    /** The largest number of remembered keys. */
    private static final int MAX_KEYS = 16_384;

    /** The newest sequence by key, least recently used first. */
    private final Map<String, Long> newest = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_KEYS;
        }
    };

    /** Creates an empty filter. */
    private FloodFilter() {}

    /** Returns an empty filter. */
    static FloodFilter create() {
        return new FloodFilter();
    }

    /** Returns whether a message is newer than all before with its key, and remembers it. */
    boolean isNew(String key, long sequence) {
        Long before = newest.get(key);
        if (before != null && before >= sequence) {
            return false;
        }
        newest.put(key, sequence);
        return true;
    }

    /** Returns the part of a delta that is new. */
    Optional<LoadDelta> newPart(LoadDelta delta) {
        List<EngineLoad> fresh = new ArrayList<>();
        for (EngineLoad load : delta.getEnginesList()) {
            if (isNew("load/" + delta.getInstance() + "/" + load.getEngine(), delta.getSequence())) {
                fresh.add(load);
            }
        }
        if (fresh.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(delta.toBuilder().clearEngines().addAllEngines(fresh).build());
    }
}
