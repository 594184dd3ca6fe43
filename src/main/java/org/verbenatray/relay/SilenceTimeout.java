package org.verbenatray.relay;

import org.verbenatray.catalog.Route;
import org.verbenatray.catalog.RouteKind;

/** The silence of a server after which its request may be moved to another. */
final class SilenceTimeout {
    /** A sound server may pause for about a second; a shorter limit would move the requests of each such server. */
    private static final long LONGEST_PAUSE_MILLIS = 1_500;

    /** The silence is too long for a response in time, as a multiple of the latency target. */
    private static final long TARGET_FACTOR = 2;

    /** The share of the caller's patience that one silent server may use up; the rest is left for another. */
    private static final double MAX_PATIENCE_SHARE = 0.6;

    private SilenceTimeout() {}

    /** Returns the timeout in milliseconds for a request that its caller awaits for the given time from now on. */
    static long millis(Route route, long remainingMillis) {
        long patienceMillis = route.kind() == RouteKind.STREAMING
                ? Math.min(route.estimatedCallerTimeoutMillis(), remainingMillis)
                : remainingMillis;
        long pauseMillis = Math.max(LONGEST_PAUSE_MILLIS, TARGET_FACTOR * route.latencyTargetMillis());
        return Math.min(pauseMillis, (long) (MAX_PATIENCE_SHARE * patienceMillis));
    }
}
