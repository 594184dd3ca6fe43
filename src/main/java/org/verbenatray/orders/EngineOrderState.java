package org.verbenatray.orders;

import java.util.Optional;
import java.util.Set;
import org.verbenatray.configuration.EngineRole;

/**
 * The order-related state that an engine reports.
 *
 * @param role the current role
 * @param loaded the loaded model versions
 * @param withdrawn whether the engine has been withdrawn from service
 * @param lastOrderId the id of the last order that took effect
 * @param changing whether the engine is still carrying out an order
 * @param highestFencing the highest fencing token that the engine has received; zero if it ignores fencing tokens
 */
public record EngineOrderState(
        EngineRole role,
        Set<ModelVersion> loaded,
        boolean withdrawn,
        Optional<String> lastOrderId,
        boolean changing,
        long highestFencing) {}
