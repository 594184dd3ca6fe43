package org.verbenatray.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenatray.fleet.Candidates;
import org.verbenatray.fleet.Candidates.Group;
import org.verbenatray.fleet.EngineView;
import org.verbenatray.fleet.PrefixHit;

/** Picks the engines that are scored: all of a small group, some of a large one with the best prefix hits. */
final class CandidateSampler {
    /** The size up to which a group is scored as a whole. */
    static final int FULL_SCAN_ENGINES = 32;

    /** The usable engines picked from a larger group. */
    static final int SAMPLED_ENGINES = 12;

    /** The engines of a larger group that are read in search of usable ones. */
    static final int READ_ENGINES = 64;

    /** Has no instances. */
    private CandidateSampler() {}

    /** Returns the usable engines to score, each once. */
    static List<EngineView> sample(
            RouteRequest request,
            Candidates candidates,
            Group group,
            EngineFilter filter,
            List<PrefixHit> hits,
            long random) {
        if (group.size() <= FULL_SCAN_ENGINES) {
            return walk(request, group, filter, 0, 1, group.size());
        }
        int start = (int) Long.remainderUnsigned(random, group.size());
        int stride = coprimeStride(random, group.size());
        List<EngineView> picked = walk(request, group, filter, start, stride, SAMPLED_ENGINES);
        for (PrefixHit hit : hits) {
            Optional<EngineView> engine = candidates.find(hit.engine());
            if (engine.isPresent() && filter.accepts(request, engine.get()) && !contains(picked, hit.engine())) {
                picked.add(engine.get());
            }
        }
        return picked;
    }

    /** Reads engines at regular distances until enough usable ones are found. */
    private static List<EngineView> walk(
            RouteRequest request, Group group, EngineFilter filter, int start, int stride, int wanted) {
        List<EngineView> picked = new ArrayList<>(wanted);
        int reads = Math.min(group.size(), READ_ENGINES);
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

    /** Returns a stride without a common divisor with the size, so that no engine is read twice. */
    private static int coprimeStride(long random, int size) {
        int stride = 1 + (int) Long.remainderUnsigned(Long.rotateLeft(random, Integer.SIZE) * 31, size - 1L);
        while (commonDivisor(stride, size) != 1) {
            stride = stride % (size - 1) + 1;
        }
        return stride;
    }

    /** Returns the greatest common divisor. */
    private static int commonDivisor(int first, int second) {
        return second == 0 ? first : commonDivisor(second, first % second);
    }

    /** Returns whether an engine was picked already. */
    private static boolean contains(List<EngineView> picked, String engine) {
        for (EngineView view : picked) {
            if (view.name().equals(engine)) {
                return true;
            }
        }
        return false;
    }
}
