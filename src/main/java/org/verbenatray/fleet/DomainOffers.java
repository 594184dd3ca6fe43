package org.verbenatray.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Selects the engines that a failure domain offers to other failure domains. */
final class DomainOffers {
    private DomainOffers() {}

    /** Returns the least loaded engines, at most {@code perGroup} for each combination of models and role. */
    static List<EngineView> select(List<EngineView> ready, int perGroup) {
        List<EngineView> sorted = ready.stream()
                .sorted(Comparator.comparingDouble(DomainOffers::load).thenComparing(EngineView::name))
                .toList();
        Map<Object, Integer> counts = new HashMap<>();
        Map<String, EngineView> chosen = new LinkedHashMap<>();
        for (EngineView view : sorted) {
            List<Object> group = List.of(view.spec().models(), view.role());
            if (counts.merge(group, 1, Integer::sum) <= perGroup) {
                chosen.put(view.name(), view);
            }
        }
        return List.copyOf(chosen.values());
    }

    /** Returns the load of an engine: the used fraction of its batch plus its queued prefill in seconds. */
    private static double load(EngineView view) {
        double batch = (double) view.runningStreams() / Math.max(1, view.spec().maxStreams());
        return batch + view.queuedPrefillTokens() / Math.max(1, view.spec().prefillTokensPerSecond());
    }
}
