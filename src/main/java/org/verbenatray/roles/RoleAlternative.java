package org.verbenatray.roles;

import org.verbenatray.configuration.EngineRole;

/**
 * A role change that the planner considered.
 *
 * @param engine the name of the engine
 * @param from the current role
 * @param to the new role
 * @param outMillis the expected time out of service in milliseconds
 * @param answers the expected number of on-time responses until the mix of work shifts again
 * @param gainAnswers the expected gain over no change, in on-time responses; the smaller one of the gains under the
 *     demand of the short window and under its mean with the long window
 */
public record RoleAlternative(
        String engine, EngineRole from, EngineRole to, long outMillis, double answers, double gainAnswers) {}
