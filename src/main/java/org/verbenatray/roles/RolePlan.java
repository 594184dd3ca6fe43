package org.verbenatray.roles;

import java.util.List;

/**
 * A decision of the {@link RolePlanner}.
 *
 * @param changes the changes to order now
 * @param alternatives all considered changes, best first
 * @param answers the expected number of on-time responses without a change until the mix of work shifts again
 * @param shortDemand the demand over the short window
 * @param expectedShiftMillis the expected remaining time of the mix of work in milliseconds
 * @param reason the reason for the changes or for none
 */
public record RolePlan(
        List<RoleAlternative> changes,
        List<RoleAlternative> alternatives,
        double answers,
        Demand shortDemand,
        long expectedShiftMillis,
        Reason reason) {

    /** Returns a plan without changes, for a reason that precedes any forecast. */
    static RolePlan withoutChanges(PlannerInput input, Reason reason) {
        return new RolePlan(List.of(), List.of(), 0, input.shortDemand(), input.expectedShiftMillis(), reason);
    }

    /** The reasons for changing a role or not. */
    public enum Reason {
        /** A change is expected to gain more than its price. */
        GAIN_EXCEEDS_PRICE,
        /** No engine performs one of the stages, prefill or decode, and a change restores it. */
        ROLE_MISSING,
        /** No change is expected to gain more than its price. */
        NO_GAIN,
        /** A load report is too old to decide from. */
        STALE_VIEW,
        /** The maximum number of engines is changing already. */
        CHANGES_UNDER_WAY,
        /** This instance may not issue orders. */
        NO_AUTHORITY,
        /** No requests arrived in the short window. */
        NO_DEMAND
    }
}
