package org.verbenatray.fleet;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;

/**
 * What an instance knows of one engine at one time.
 *
 * @param name the engine's name
 * @param spec its configuration
 * @param role its present role
 * @param condition whether it may be given work
 * @param runningStreams the streams that generate tokens, with own dispatches since the last report
 * @param queuedPrefillTokens the prompt tokens that wait or are being processed, with own dispatches
 * @param usedKvTokens the tokens held in KV cache
 * @param reportAgeMillis the age of the last load report in milliseconds
 * @param cacheDoubtful whether cache events were missed, so that the prefix index is a guess
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
