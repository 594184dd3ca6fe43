package org.verbenatray.standin.engine;

import org.verbenatray.configuration.EngineRole;

/**
 * The costs and limits of a modelled engine.
 *
 * @param prefillTokensPerSecond the rate at which it processes prompt tokens
 * @param decodeStepMillis the time of one decode step of a batch of one in milliseconds
 * @param decodeStepMillisPerStream the additional time of a decode step per further stream in milliseconds
 * @param maxStreams the largest batch
 * @param kvTokens the capacity of the KV cache in tokens
 * @param limits the limits that the configuration does not state
 */
public record EngineModelSpec(
        double prefillTokensPerSecond,
        double decodeStepMillis,
        double decodeStepMillisPerStream,
        int maxStreams,
        long kvTokens,
        Limits limits) {

    /**
     * Limits of an engine that the configuration does not state.
     *
     * @param initialRole the role after the start
     * @param chunkTokens the prompt tokens processed together with one decode step
     * @param cachedPieces the capacity of the prefix cache in pieces
     * @param pieceTokens the length of a piece in tokens
     * @param kvTransferTokensPerSecond the rate at which KV cache is imported
     * @param roleChangeMillis the time without service of a role change in milliseconds
     * @param loadModelMillis the time without service of loading a version in milliseconds
     */
    public record Limits(
            EngineRole initialRole,
            int chunkTokens,
            int cachedPieces,
            int pieceTokens,
            double kvTransferTokensPerSecond,
            long roleChangeMillis,
            long loadModelMillis) {
        /** Returns limits of an engine that does both kinds of work. */
        public static Limits defaults() {
            return new Limits(EngineRole.BOTH, 256, 64, 2_000, 200_000, 4_000, 8_000);
        }

        /** Returns these limits with another initial role. */
        public Limits inRole(EngineRole role) {
            return new Limits(
                    role,
                    chunkTokens,
                    cachedPieces,
                    pieceTokens,
                    kvTransferTokensPerSecond,
                    roleChangeMillis,
                    loadModelMillis);
        }
    }
}
