package org.verbenatray.standin.engine;

import org.verbenatray.configuration.EngineRole;

/**
 * The performance and capacity of a modelled engine.
 *
 * @param prefillTokensPerSecond the prefill rate in prompt tokens per second
 * @param decodeStepMillis the duration of one decode step with a batch size of one, in milliseconds
 * @param decodeStepMillisPerStream the additional duration of a decode step per further stream, in milliseconds
 * @param maxStreams the maximum batch size
 * @param kvTokens the capacity of the KV cache in tokens
 * @param limits the parameters that the configuration does not contain
 */
public record EngineModelSpec(
        double prefillTokensPerSecond,
        double decodeStepMillis,
        double decodeStepMillisPerStream,
        int maxStreams,
        long kvTokens,
        Limits limits) {

    /**
     * Parameters of a modelled engine that the configuration does not contain.
     *
     * @param initialRole the role after a start or restart
     * @param chunkTokens the maximum number of prompt tokens that one step processes
     * @param cachedBlocks the capacity of the prefix cache in blocks
     * @param blockTokens the length of a block in tokens
     * @param kvTransferTokensPerSecond the transfer rate of a KV cache import
     * @param roleChangeMillis the outage of a role change after draining, in milliseconds
     * @param loadModelMillis the outage of loading a model version after draining, in milliseconds
     */
    public record Limits(
            EngineRole initialRole,
            int chunkTokens,
            int cachedBlocks,
            int blockTokens,
            double kvTransferTokensPerSecond,
            long roleChangeMillis,
            long loadModelMillis) {
        /** Returns default limits of an engine that runs both prefill and decode. */
        public static Limits defaults() {
            return new Limits(EngineRole.BOTH, 256, 64, 2_000, 200_000, 4_000, 8_000);
        }

        /** Returns a copy with the given initial role. */
        public Limits withInitialRole(EngineRole role) {
            return new Limits(
                    role,
                    chunkTokens,
                    cachedBlocks,
                    blockTokens,
                    kvTransferTokensPerSecond,
                    roleChangeMillis,
                    loadModelMillis);
        }
    }
}
