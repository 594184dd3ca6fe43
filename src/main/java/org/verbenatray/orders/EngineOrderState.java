package org.verbenatray.orders;

import java.util.Optional;
import java.util.Set;
import org.verbenatray.configuration.EngineRole;

/**
 * What an engine says about its orders.
 *
 * @param role the present role
 * @param loaded the loaded model versions
 * @param withdrawn whether the engine is withdrawn
 * @param lastOrderId the id of the last order that took effect
 * @param changing whether a change is under way
 * @param highestFencing the highest fencing number that was seen, zero for an engine that ignores them
 */
public record EngineOrderState(
        EngineRole role,
        Set<ModelVersion> loaded,
        boolean withdrawn,
        Optional<String> lastOrderId,
        boolean changing,
        long highestFencing) {}
