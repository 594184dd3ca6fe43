package org.verbenatray.roles;

import java.util.List;

/**
 * The planner's decision.
 *
 * @param changes the changes to order now
 * @param alternatives all changes that were weighed, the best first
 * @param answers the answers in time that are expected without a change until the mix shifts again
 * @param shortDemand the demand that the decision is for
 * @param expectedShiftMillis how long the mix was expected to last in milliseconds
 * @param reason why these changes or none
 */
public record RolePlan(
        List<RoleAlternative> changes,
        List<RoleAlternative> alternatives,
        double answers,
        Demand shortDemand,
        long expectedShiftMillis,
        Reason reason) {

    /** Returns a plan without changes for a reason that needs no figures. */
    static RolePlan none(PlannerInput input, Reason reason) {
        return new RolePlan(List.of(), List.of(), 0, input.shortDemand(), input.expectedShiftMillis(), reason);
    }

    /** Why a plan has changes or none. */
    public enum Reason {
        /** A change is expected to gain more than its price. */
        GAIN_EXCEEDS_PRICE,
        /** A kind of work has no engine, which a change restores. */
        ROLE_MISSING,
        /** No change is expected to gain its price. */
        NO_GAIN,
        /** A load report is too old. */
        STALE_VIEW,
        /** As many engines change already as are allowed to. */
        CHANGES_UNDER_WAY,
        /** This instance may not give orders. */
        NO_AUTHORITY,
        /** There is no demand to plan for. */
        NO_DEMAND
    }
}
