package org.verbenatray.placement;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.verbenatray.backends.Backend;

/**
 * Ranks engines for a key, such as the id of a shared prompt block, by weighted rendezvous hashing.
 *
 * <p>Every instance that sees the same engines computes the same order. Adding or removing an engine only moves the
 * keys that this engine gains or loses.
 */
public final class RendezvousRanking {
    private static final HashFunction HASH = Hashing.murmur3_128();

    private RendezvousRanking() {}

    /**
     * Returns the engines by descending score.
     *
     * <p>An engine with twice the weight of another comes first for twice as many keys.
     */
    public static List<Backend> rank(String key, List<Backend> engines, ToDoubleFunction<Backend> weight) {
        return engines.stream()
                .sorted(Comparator.comparingDouble(engine -> -score(key, engine, weight.applyAsDouble(engine))))
                .toList();
    }

    /** Returns the score of an engine for a key. */
    private static double score(String key, Backend engine, double weight) {
        long hash = HASH.hashString(key + "|" + engine.entry().id(), StandardCharsets.UTF_8)
                .asLong();
        double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
        return -weight / Math.log(uniform);
    }
}
