package org.verbenatray.roles;

import org.verbenatray.configuration.EngineRole;

/**
 * A change of role that was weighed.
 *
 * @param engine the engine
 * @param from its role
 * @param to the new role
 * @param goodputPerSecond the expected answers in time per second after the change
 * @param gainAnswers the answers that the change is expected to gain until the mix shifts again
 * @param costAnswers the answers that are lost while the engine is out of service
 */
public record RoleAlternative(
        String engine,
        EngineRole from,
        EngineRole to,
        double goodputPerSecond,
        double gainAnswers,
        double costAnswers) {
    /** Returns the expected gain less the expected cost in answers. */
    public double netAnswers() {
        return gainAnswers - costAnswers;
    }
}
