package org.verbenatray.bench;

/**
 * What one run plays.
 *
 * @param deployment the fleet
 * @param shape the shape of the mix
 * @param assignment the roles at the start
 * @param router the name of the router
 * @param policy the name of the policy of role changes
 * @param seed the seed
 */
public record MixRun(
        Deployment deployment, MixShape shape, RoleAssignment assignment, String router, String policy, long seed) {
    /** Returns the part of the run that plays at one failure domain. */
    public MixRun at(String failureDomain) {
        return new MixRun(deployment.only(failureDomain), shape, assignment, router, policy, seed);
    }

    /** Returns the run with other roles at the start. */
    public MixRun startingIn(RoleAssignment start) {
        return new MixRun(deployment, shape, start, router, policy, seed);
    }
}
