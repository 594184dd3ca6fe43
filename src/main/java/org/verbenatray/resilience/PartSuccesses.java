package org.verbenatray.resilience;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.verbenatray.time.Ticker;

/**
 * What speaks for parts of prompts: when requests with them last ran to their end, for the most recent parts, and how
 * many requests did for each model. Not thread-safe: all calls come from one thread.
 */
final class PartSuccesses {
    private static final int MAX_PARTS = 4_096;

    private final Ticker ticker;

    private final Map<String, RunCounts> countsByModel = new HashMap<>();

    /** When each part last succeeded, in nanoseconds of the ticker, least recent first. */
    private final Map<String, Long> nanosByPart = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    private PartSuccesses(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns a memory of no successes. */
    static PartSuccesses empty(Ticker ticker) {
        return new PartSuccesses(ticker);
    }

    /** Records that a request whose prompt has the given parts has run to its end. */
    void record(Collection<String> parts) {
        parts.forEach(part -> nanosByPart.put(part, ticker.nanos()));
        countModels(parts, RunCounts::plusCompleted);
    }

    /** Records that a request with a part has run to its end at another instance. */
    void recordElsewhere(String part) {
        nanosByPart.put(part, ticker.nanos());
    }

    /** Records that a run of a request whose prompt has the given parts went on after its beginning. */
    void recordEstablished(Collection<String> parts) {
        countModels(parts, RunCounts::plusEstablished);
    }

    private void countModels(Collection<String> parts, UnaryOperator<RunCounts> next) {
        parts.stream()
                .map(PartKey::modelOf)
                .distinct()
                .forEach(model -> countsByModel.put(model, next.apply(counts(model))));
    }

    /** Returns the counts of the runs for a part's model. */
    RunCounts countsOfModel(String part) {
        return counts(PartKey.modelOf(part));
    }

    private RunCounts counts(String model) {
        return countsByModel.getOrDefault(model, RunCounts.NONE);
    }

    /** Returns whether a part has succeeded within the given time in milliseconds. */
    boolean within(String part, long millis) {
        Long nanos = nanosByPart.get(part);
        return nanos != null && ticker.nanos() - nanos <= millis * 1_000_000;
    }
}
