package org.verbenatray.faults;

import java.util.List;

/**
 * The result of one run. Written as JSON.
 *
 * @param seed the seed of the plan
 * @param plannedOnly whether the plan contained only planned changes
 * @param faults the faults in order of their start, as kind and start in milliseconds
 * @param calls the number of calls without the poison request
 * @param whole the number of complete responses
 * @param notRun the number of calls rejected with the statement that nothing was run
 * @param mayHaveRun the number of calls that failed with the statement that they may have run
 * @param brokenByKill the number of calls whose connection broke because their instance was killed
 * @param innocentCondemned the number of calls that were blocked as crashing engines although they are not the poison
 *     request
 * @param issuances the number of distinct issuances
 * @param roleChanges the number of role changes that took effect
 * @param poisonCrashes the number of engine crashes that the poison request caused
 * @param violations the descriptions of violated invariants
 * @param failures the details of the first failed calls
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
    /** Returns whether no invariant was violated. */
    public boolean passed() {
        return violations.isEmpty();
    }
}
