package org.verbenatray.admission;

import org.verbenatray.fleet.EngineView;
import org.verbenatray.routing.EngineRoute;

/**
 * The latency that a route is expected to give to a request.
 *
 * @param queueMillis the time in milliseconds that the prompt waits in the engine's prefill queue
 * @param firstTokenMillis the time to first token in milliseconds, including that wait
 * @param betweenTokensMillis the time between tokens in milliseconds
 */
public record LatencyEstimate(double queueMillis, double firstTokenMillis, double betweenTokensMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Returns the estimate of a route whose prompt is processed by the given engine. */
    public static LatencyEstimate of(EngineRoute route, EngineView prefiller) {
        double rate = Math.max(1, prefiller.spec().prefillTokensPerSecond());
        double queueMillis = prefiller.queuedPrefillTokens() / rate * MILLIS_PER_SECOND;
        return new LatencyEstimate(queueMillis, route.firstTokenMillis(), route.betweenTokensMillis());
    }

    /** Returns the time in milliseconds until the last of the given number of tokens. */
    public double totalMillis(int outputTokens) {
        return firstTokenMillis + Math.max(0, outputTokens - 1) * betweenTokensMillis;
    }
}
