package org.verbenatray.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long ago a caller sent the first attempt of a request. Retries keep the deadline of the first attempt,
 * so the remaining time that a retry states is shorter than the longest that callers of the route state.
 */
public final class FirstAttemptEstimator {
    /** Smallest timeout of a first attempt, as a share of the longest on the route: callers use different timeouts. */
    private static final double MIN_TIMEOUT_RATIO = 0.85;

    /** Factor applied to the longest timeout with each request, so that it can decrease. */
    private static final double DECAY_PER_REQUEST = 0.9999;

    /** Longest timeout that callers state, in milliseconds, by route. */
    private final Map<String, Double> longestMillis = new HashMap<>();

    private FirstAttemptEstimator() {}

    /** Creates an estimator without observations. */
    public static FirstAttemptEstimator create() {
        return new FirstAttemptEstimator();
    }

    /**
     * Records the remaining time of a request and returns a lower bound of the time since the caller's first attempt,
     * in milliseconds.
     */
    public double recordAndEstimateMillis(String route, long remainingMillis) {
        double maxMillis = Math.max(remainingMillis, DECAY_PER_REQUEST * longestMillis.getOrDefault(route, 0.0));
        longestMillis.put(route, maxMillis);
        return Math.max(0, MIN_TIMEOUT_RATIO * maxMillis - remainingMillis);
    }
}
