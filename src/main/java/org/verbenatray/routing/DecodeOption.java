package org.verbenatray.routing;

import org.verbenatray.fleet.EngineView;

/**
 * An engine that may generate the output, with its estimated costs.
 *
 * @param engine the engine
 * @param betweenTokensMillis the expected time between tokens in milliseconds
 * @param otherStreamsDelayMillis the total delay that the request causes to the other streams on the engine in
 *     milliseconds
 * @param penaltyMillis the penalty for a remote failure domain and an old load report in milliseconds
 */
record DecodeOption(
        EngineView engine, double betweenTokensMillis, double otherStreamsDelayMillis, double penaltyMillis) {}
