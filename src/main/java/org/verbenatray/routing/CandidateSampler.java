package org.verbenatray.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.Candidates;
import org.verbenatray.fleet.Candidates.Group;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.PrefixHit;

/**
 * Selects the engines to score: every usable engine of a small group; of a large one a sample and the engines with the
 * best prefix hits. This bounds the work of a routing decision.
 */
final class CandidateSampler {
    /** The largest size of a group of which every engine is scored. */
    static final int MAX_FULL_SCAN_ENGINES = 32;

    /** The number of usable engines picked from a larger group. */
    static final int SAMPLED_ENGINES = 12;

    /** The number of engines of a larger group that are read in search of usable ones. */
    static final int MAX_ENGINES_READ = 64;

    private CandidateSampler() {}

    /**
     * Returns the usable engines to score without duplicates.
     *
     * @param random random bits that determine the sample of a large group
     */
    static List<EngineView> sample(
            RouteRequest request,
            Candidates candidates,
            Group group,
            EngineFilter filter,
            List<PrefixHit> hits,
            long random) {
        if (group.size() <= MAX_FULL_SCAN_ENGINES) {
            return pickUsable(request, group, filter, 0, 1, group.size());
        }
        int start = (int) Long.remainderUnsigned(random, group.size());
        int stride = coprimeStride(random, group.size());
        List<EngineView> picked = pickUsable(request, group, filter, start, stride, SAMPLED_ENGINES);
        for (PrefixHit hit : hits) {
            Optional<EngineView> engine = candidates.find(hit.engine());
            if (engine.isPresent() && filter.accepts(request, engine.get()) && !containsEngine(picked, hit.engine())) {
                picked.add(engine.get());
            }
        }
        return picked;
    }

    /** Reads engines at a fixed stride until enough usable ones are found. */
    private static List<EngineView> pickUsable(
            RouteRequest request, Group group, EngineFilter filter, int start, int stride, int wanted) {
        List<EngineView> picked = new ArrayList<>(wanted);
        int reads = Math.min(group.size(), MAX_ENGINES_READ);
        int index = start;
        for (int read = 0; read < reads && picked.size() < wanted; read++) {
            EngineView engine = group.get(index);
            if (filter.accepts(request, engine)) {
                picked.add(engine);
            }
            index = (int) (((long) index + stride) % group.size());
        }
        return picked;
    }

    /** Returns a stride that is coprime to the size, so that no engine is read twice. */
    private static int coprimeStride(long random, int size) {
        int stride = 1 + (int) Long.remainderUnsigned(Long.rotateLeft(random, Integer.SIZE) * 31, size - 1L);
        while (commonDivisor(stride, size) != 1) {
            stride = stride % (size - 1) + 1;
        }
        return stride;
    }

    /** Returns the greatest common divisor of both numbers. */
    private static int commonDivisor(int first, int second) {
        return second == 0 ? first : commonDivisor(second, first % second);
    }

    private static boolean containsEngine(List<EngineView> picked, String engine) {
        for (EngineView view : picked) {
            if (view.name().equals(engine)) {
                return true;
            }
        }
        return false;
    }
}
