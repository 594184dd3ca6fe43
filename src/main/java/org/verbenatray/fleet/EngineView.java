package org.verbenatray.fleet;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;

/**
 * An immutable snapshot of the state of one engine as known to an instance.
 *
 * @param name the engine's name
 * @param spec the configuration of the engine
 * @param role the current role
 * @param condition the availability for new requests
 * @param runningStreams the accepted streams that are not finished, including known dispatches since the last report
 * @param queuedPrefillTokens the prompt tokens queued or being processed, including known dispatches since the
 *     last report
 * @param usedKvTokens the KV cache in use, in tokens, including known dispatches since the last report
 * @param reportAgeMillis the age of the last load report in milliseconds; {@code Long.MAX_VALUE} if there is none
 * @param cacheDoubtful whether cache events were missed, so that the prefix index may be wrong about this engine
 */
public record EngineView(
        String name,
        EngineSpec spec,
        EngineRole role,
        EngineCondition condition,
        int runningStreams,
        long queuedPrefillTokens,
        long usedKvTokens,
        long reportAgeMillis,
        boolean cacheDoubtful) {}
