package org.verbenatray.admission;

import org.verbenatray.fleet.EngineView;
import org.verbenatray.routing.Route;

/**
 * What a route promises to a request.
 *
 * @param queueMillis the time that the prompt waits at the engine in milliseconds
 * @param firstTokenMillis the time to the first token in milliseconds, with that wait
 * @param betweenTokensMillis the time between tokens in milliseconds
 */
public record Expectation(double queueMillis, double firstTokenMillis, double betweenTokensMillis) {
    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the expectation of a route whose prompt is processed by the given engine. */
    public static Expectation of(Route route, EngineView prefiller) {
        double rate = Math.max(1, prefiller.spec().prefillTokensPerSecond());
        double queueMillis = prefiller.queuedPrefillTokens() / rate * MILLIS_PER_SECOND;
        return new Expectation(queueMillis, route.firstTokenMillis(), route.betweenTokensMillis());
    }

    /** Returns the time to the last of the given number of tokens in milliseconds. */
    public double totalMillis(int outputTokens) {
        return firstTokenMillis + Math.max(0, outputTokens - 1) * betweenTokensMillis;
    }
}
