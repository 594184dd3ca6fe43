package org.verbenatray.routing;

import org.verbenatray.fleet.EngineView;

/**
 * An engine that may process the prompt, with its estimated costs.
 *
 * @param engine the engine
 * @param cachedTokens the prompt tokens that are expected to be in its prefix cache
 * @param prefillMillis the expected time until the prompt is processed in milliseconds
 * @param otherStreamsDelayMillis the total delay that the request causes to the other streams on the engine in
 *     milliseconds
 * @param penaltyMillis the penalty for a remote failure domain and an old load report in milliseconds
 */
record PrefillOption(
        EngineView engine,
        int cachedTokens,
        double prefillMillis,
        double otherStreamsDelayMillis,
        double penaltyMillis) {}
