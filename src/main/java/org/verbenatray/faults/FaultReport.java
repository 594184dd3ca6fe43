package org.verbenatray.faults;

import java.util.List;

/**
 * What one run showed.
 *
 * @param seed the seed of the plan
 * @param plannedOnly whether the plan had planned changes only
 * @param faults the kinds of the faults in order
 * @param calls the calls
 * @param whole the whole answers
 * @param notRun the calls that were told that nothing was run
 * @param mayHaveRun the calls that were told that they may have run
 * @param brokenByKill the calls whose connection broke because their instance was killed
 * @param innocentCondemned the other calls that were told that they crash engines
 * @param issuances the issuances by key
 * @param roleChanges the role changes that took effect
 * @param poisonCrashes the engines that the poison request crashed
 * @param violations what broke an invariant
 * @param failures the first calls that were told a failure
 */
public record FaultReport(
        long seed,
        boolean plannedOnly,
        List<String> faults,
        int calls,
        int whole,
        int notRun,
        int mayHaveRun,
        int brokenByKill,
        int innocentCondemned,
        int issuances,
        int roleChanges,
        int poisonCrashes,
        List<String> violations,
        List<String> failures) {
    /** Returns whether every invariant held. */
    public boolean holds() {
        return violations.isEmpty();
    }
}
