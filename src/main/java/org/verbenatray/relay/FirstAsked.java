package org.verbenatray.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long ago a caller first asked for what it asks again: the time that it still waits has shrunk from the
 * longest that callers of the route state.
 */
public final class FirstAsked {
    /** The share of the longest time that callers wait at least when they ask first: they differ from one another. */
    private static final double SHORTEST_SHARE = 0.85;

    /** The share of the longest time that is kept with each request, so that it can fall. */
    private static final double KEPT = 0.9999;

    /** The longest time that callers of each route wait, in milliseconds. */
    private final Map<String, Double> longest = new HashMap<>();

    /** Creates an estimate. */
    private FirstAsked() {}

    /** Returns an estimate that has seen no request yet. */
    public static FirstAsked unseen() {
        return new FirstAsked();
    }

    /** Takes the time that a caller of a route still waits and returns the least time since it first asked. */
    double millisAgo(String route, long waitMillis) {
        double known = Math.max(waitMillis, KEPT * longest.getOrDefault(route, 0.0));
        longest.put(route, known);
        return Math.max(0, SHORTEST_SHARE * known - waitMillis);
    }
}
