package org.verbenatray.standin.engine;

import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.EngineCondition;

/**
 * A load report.
 *
 * @param atNanos when it was taken
 * @param role the present role
 * @param condition whether the engine takes new work
 * @param runningStreams the streams that generate tokens or whose KV cache is being imported
 * @param acceptedStreams the requests that it accepted and has not finished, including those whose prompt waits
 * @param queuedPrefillTokens the prompt tokens that wait or are being processed
 * @param usedKvTokens the tokens reserved in KV cache
 * @param models the served versions by model
 */
public record EngineLoad(
        long atNanos,
        EngineRole role,
        EngineCondition condition,
        int runningStreams,
        int acceptedStreams,
        long queuedPrefillTokens,
        long usedKvTokens,
        Map<String, String> models) {}
