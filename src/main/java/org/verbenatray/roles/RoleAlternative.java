package org.verbenatray.roles;

import org.verbenatray.configuration.EngineRole;

/**
 * A change of role that was weighed.
 *
 * @param engine the engine
 * @param from its role
 * @param to the new role
 * @param outMillis the time that the engine is expected to be out of service in milliseconds
 * @param answers the answers in time that are expected until the mix shifts again
 * @param gainAnswers how many more these are than without a change
 */
public record RoleAlternative(
        String engine, EngineRole from, EngineRole to, long outMillis, double answers, double gainAnswers) {}
