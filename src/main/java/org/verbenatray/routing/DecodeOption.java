package org.verbenatray.routing;

import org.verbenatray.fleet.EngineView;

/**
 * An engine that may generate the tokens.
 *
 * @param engine the engine
 * @param betweenTokensMillis the expected time between tokens in milliseconds
 * @param othersDelayMillis the delay that it causes to the streams on the engine in milliseconds
 * @param cautionMillis the price of its failure domain and of an old report in milliseconds
 */
record DecodeOption(EngineView engine, double betweenTokensMillis, double othersDelayMillis, double cautionMillis) {}
