package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.verbenatray.peers.generated.EngineLoad;
import org.verbenatray.peers.generated.LoadDelta;

/** Detects relayed messages that already arrived over another link, by their sequence numbers. Not thread-safe. */
final class DuplicateFilter {
    /** Bounds memory; the least recently used key is evicted. */
    private static final int MAX_KEYS = 16_384;

    /** The newest sequence number by key, least recently used first. */
    private final Map<String, Long> newestSequences = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_KEYS;
        }
    };

    private DuplicateFilter() {}

    /** Returns an empty filter. */
    static DuplicateFilter create() {
        return new DuplicateFilter();
    }

    /** Records the sequence number of a message and returns whether it is larger than all earlier ones of its key. */
    boolean recordIfNewer(String key, long sequence) {
        Long before = newestSequences.get(key);
        if (before != null && before >= sequence) {
            return false;
        }
        newestSequences.put(key, sequence);
        return true;
    }

    /** Returns the delta without the engines whose load is not newer than known, or empty when none is left. */
    Optional<LoadDelta> withoutDuplicates(LoadDelta delta) {
        List<EngineLoad> fresh = new ArrayList<>();
        for (EngineLoad load : delta.getEnginesList()) {
            if (recordIfNewer("load/" + delta.getInstance() + "/" + load.getEngine(), delta.getSequence())) {
                fresh.add(load);
            }
        }
        if (fresh.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(delta.toBuilder().clearEngines().addAllEngines(fresh).build());
    }
}
