package org.verbenatray.placement;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.verbenatray.backends.Backend;

/**
 * Orders engines by their affinity to a shared part of prompts, the same at every instance that sees the same engines.
 *
 * <p>An engine that comes or goes moves only the parts that it gains or loses.
 */
public final class EngineRanking {
    /** The hash. */
    private static final HashFunction HASH = Hashing.murmur3_128();

    /** Prevents instances. */
    private EngineRanking() {}

    /** Returns the engines in the order of their affinity; an engine of twice the weight comes first twice as often. */
    public static List<Backend> rank(String part, List<Backend> engines, ToDoubleFunction<Backend> weight) {
        return engines.stream()
                .sorted(Comparator.comparingDouble(engine -> -affinity(part, engine, weight.applyAsDouble(engine))))
                .toList();
    }

    /** Returns the affinity of a part to an engine. */
    private static double affinity(String part, Backend engine, double weight) {
        long hash = HASH.hashString(part + "|" + engine.entry().id(), StandardCharsets.UTF_8)
                .asLong();
        double uniform = ((hash >>> 11) + 0.5) / (1L << 53);
        return -weight / Math.log(uniform);
    }
}
