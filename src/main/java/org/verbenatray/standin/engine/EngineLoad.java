package org.verbenatray.standin.engine;

import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.EngineCondition;

/**
 * A snapshot of an engine's load.
 *
 * @param atNanos the time of the snapshot in nanoseconds
 * @param role the current role
 * @param condition whether the engine accepts new requests
 * @param runningStreams the number of streams that are decoding or importing their KV cache
 * @param acceptedStreams the number of accepted requests that have not finished, including those queued for prefill
 * @param queuedPrefillTokens the context tokens that are queued or being processed
 * @param usedKvTokens the tokens reserved in the KV cache
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
