package org.verbenatray.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * The faults of one run, generated from a seed.
 *
 * @param seed the seed
 * @param plannedOnly whether the plan contains only planned changes
 * @param millis the length of the run in milliseconds
 * @param faults the faults in order of their start
 */
public record FaultPlan(long seed, boolean plannedOnly, long millis, List<Fault> faults) {
    /** Every n-th seed yields a plan with planned changes only. */
    private static final int PLANNED_ONLY_SEED_INTERVAL = 4;

    /** The fraction of the run without fault starts, at its beginning and again at its end. */
    private static final double QUIET_FRACTION = 0.1;

    /** The mean interval between fault starts in milliseconds. */
    private static final long MEAN_INTERVAL_MILLIS = 900;

    /** The minimum duration of a fault in milliseconds. */
    private static final long MIN_DURATION_MILLIS = 300;

    /** The maximum duration of a fault in milliseconds, exclusive. */
    private static final long MAX_DURATION_MILLIS = 3_000;

    /** The exclusive upper bound of {@link Fault#target}. */
    private static final int TARGET_BOUND = 1_000;

    /** The maximum number of faults per kind, for kinds that replace instances or engines. */
    private static final int MAX_FAULTS_OF_LIMITED_KIND = 2;

    /**
     * Returns the plan for a seed and a length of the run in milliseconds. The same arguments always yield the same
     * plan.
     */
    public static FaultPlan fromSeed(long seed, long millis) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean plannedOnly = Math.floorMod(seed, PLANNED_ONLY_SEED_INTERVAL) == 0;
        List<FaultKind> kinds = Stream.of(FaultKind.values())
                .filter(kind -> kind.isPlanned() || !plannedOnly)
                .toList();
        int count = (int) Math.max(2, millis / MEAN_INTERVAL_MILLIS);
        Map<FaultKind, Integer> countByKind = new EnumMap<>(FaultKind.class);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            long startMillis = (long) (millis * (QUIET_FRACTION + (1 - 2 * QUIET_FRACTION) * random.nextDouble()));
            long durationMillis = random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS);
            int target = random.nextInt(TARGET_BOUND);
            startMillis = kind == FaultKind.ENGINE_REPLACED ? startMillis / 2 : startMillis;
            if (countByKind.merge(kind, 1, Integer::sum) <= maxFaults(kind)) {
                faults.add(new Fault(kind, startMillis, durationMillis, target));
            }
        }
        faults.sort(Comparator.comparingLong(Fault::startMillis));
        return new FaultPlan(seed, plannedOnly, millis, List.copyOf(faults));
    }

    /** Returns whether the plan contains a fault of a kind. */
    public boolean contains(FaultKind kind) {
        return faults.stream().anyMatch(fault -> fault.kind() == kind);
    }

    /** Returns the maximum number of faults of a kind. */
    private static int maxFaults(FaultKind kind) {
        return switch (kind) {
            case ENGINE_REPLACED, INSTANCE_KILLED, INSTANCE_REPLACED -> MAX_FAULTS_OF_LIMITED_KIND;
            case POISON -> 1;
            default -> Integer.MAX_VALUE;
        };
    }
}
