package org.verbenatray.fleet;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;

/**
 * Which engines of its failure domain an instance watches and routes to.
 *
 * <p>The engines that serve the same models form a ring in the order of their hashes. The instances start at equal
 * distances on it and take the engines that follow, so that the numbers of instances that any two of these engines have
 * differ by one at most. When an instance leaves or comes, the others move by at most their distance.
 */
public final class EngineSubset {
    /** The usual number of engines from which on an instance takes a part of them. */
    public static final int DEFAULT_BOUND = 64;

    /** The engines that an instance takes of those that serve the same models at least, as far as there are any. */
    static final int MIN_PER_GROUP = 8;

    /** The instances that each engine has at least, as far as there are any. */
    static final int MIN_INSTANCES = 2;

    /** Has no instances. */
    private EngineSubset() {}

    /**
     * Returns the names of the engines of one instance; all up to the bound.
     *
     * <p>Above the bound an instance takes of each group as large a part as the bound is of all engines, rounded up, or
     * more where {@link #MIN_PER_GROUP} or {@link #MIN_INSTANCES} ask for it.
     *
     * @param self the instance
     * @param instances the live instances of the failure domain, with or without the instance itself
     * @param engines the engines of the failure domain by name
     * @param bound the number of engines to watch
     */
    public static Set<String> of(
            String self, Collection<String> instances, Map<String, EngineSpec> engines, int bound) {
        if (engines.size() <= bound) {
            return Set.copyOf(engines.keySet());
        }
        TreeSet<String> ordered = new TreeSet<>(instances);
        ordered.add(self);
        int position = ordered.headSet(self).size();
        Set<String> chosen = new HashSet<>();
        for (List<String> ring : rings(engines)) {
            int size = size(ring.size(), engines.size(), ordered.size(), bound);
            long start = (long) position * ring.size() / ordered.size();
            for (int i = 0; i < size; i++) {
                chosen.add(ring.get((int) ((start + i) % ring.size())));
            }
        }
        return Set.copyOf(chosen);
    }

    /** Returns how many engines of a group an instance takes. */
    private static int size(int group, int engines, int instances, int bound) {
        int part = ceilDiv((long) bound * group, engines);
        int covering = ceilDiv((long) MIN_INSTANCES * group, instances);
        return Math.min(group, Math.max(MIN_PER_GROUP, Math.max(part, covering)));
    }

    /** Returns a quotient rounded up. */
    private static int ceilDiv(long dividend, long divisor) {
        return (int) ((dividend + divisor - 1) / divisor);
    }

    /** Returns the engines of each group in the order of their hashes. */
    private static Collection<List<String>> rings(Map<String, EngineSpec> engines) {
        Map<String, List<String>> rings = new TreeMap<>();
        engines.forEach((name, spec) -> {
            String models = String.join(" ", new TreeSet<>(spec.models()));
            rings.computeIfAbsent(models, key -> new ArrayList<>()).add(name);
        });
        Comparator<String> byHash = Comparator.comparingLong(EngineSubset::hash);
        rings.values().forEach(ring -> ring.sort(byHash.thenComparing(Comparator.naturalOrder())));
        return rings.values();
    }

    /** Returns the hash of a name, the same in every process. */
    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }
}
