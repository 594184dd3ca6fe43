package org.verbenatray.routing;

import org.verbenatray.fleet.EngineView;

/**
 * An engine that may process the prompt.
 *
 * @param engine the engine
 * @param cachedTokens the prompt tokens that it is expected to hold
 * @param millis the expected time until the prompt is processed in milliseconds
 * @param othersDelayMillis the delay that it causes to the streams on the engine in milliseconds
 * @param cautionMillis the price of its failure domain and of an old report in milliseconds
 */
record PrefillOption(
        EngineView engine, int cachedTokens, double millis, double othersDelayMillis, double cautionMillis) {}
