package org.verbenatray.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * The faults of one run, drawn from a seed.
 *
 * @param seed the seed
 * @param plannedOnly whether only planned changes were drawn
 * @param millis the length of the run in milliseconds
 * @param faults the faults in the order of their times
 */
public record FaultPlan(long seed, boolean plannedOnly, long millis, List<Fault> faults) {
    /** Every how many seeds a plan has planned changes only. */
    private static final int PLANNED_EVERY = 4;

    /** The part of the run before the first fault and after the last one begins. */
    private static final double QUIET = 0.1;

    /** The mean time between faults in milliseconds. */
    private static final long SPACING_MILLIS = 900;

    /** The shortest time that a fault lasts in milliseconds. */
    private static final long SHORTEST_MILLIS = 300;

    /** The longest time that a fault lasts in milliseconds. */
    private static final long LONGEST_MILLIS = 3_000;

    /** The largest number from which a target is found. */
    private static final int TARGETS = 1_000;

    /** The largest number of faults of one kind, for kinds that use up instances or engines. */
    private static final int MAX_COSTLY = 2;

    /** Returns the plan of a seed. */
    public static FaultPlan draw(long seed, long millis) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean plannedOnly = Math.floorMod(seed, PLANNED_EVERY) == 0;
        List<FaultKind> kinds = Stream.of(FaultKind.values())
                .filter(kind -> kind.isPlanned() || !plannedOnly)
                .toList();
        int count = (int) Math.max(2, millis / SPACING_MILLIS);
        Map<FaultKind, Integer> drawn = new EnumMap<>(FaultKind.class);
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            long at = (long) (millis * (QUIET + (1 - 2 * QUIET) * random.nextDouble()));
            long lasting = random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS);
            int target = random.nextInt(TARGETS);
            at = kind == FaultKind.ENGINE_REPLACED ? at / 2 : at;
            if (drawn.merge(kind, 1, Integer::sum) <= most(kind)) {
                faults.add(new Fault(kind, at, lasting, target));
            }
        }
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return new FaultPlan(seed, plannedOnly, millis, List.copyOf(faults));
    }

    /** Returns whether a kind was drawn. */
    public boolean has(FaultKind kind) {
        return faults.stream().anyMatch(fault -> fault.kind() == kind);
    }

    /** Returns the largest number of faults of a kind. */
    private static int most(FaultKind kind) {
        return switch (kind) {
            case ENGINE_REPLACED, INSTANCE_KILLED, INSTANCE_REPLACED -> MAX_COSTLY;
            case POISON -> 1;
            default -> Integer.MAX_VALUE;
        };
    }
}
