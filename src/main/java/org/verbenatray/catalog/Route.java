package org.verbenatray.catalog;

import java.util.List;

/**
 * A rule that sends the requests of a host and path prefix to services.
 *
 * @param name the name of the route
 * @param host the host in lower case without a port
 * @param pathPrefix the prefix of the path, which begins and ends with a slash
 * @param kind the kind of requests, which decides whether they may be retried
 * @param timeoutMillis the timeout until the end of the response, in milliseconds
 * @param latencyTargetMillis the latency up to which a response is on time, in milliseconds
 * @param priority the priority, zero being the highest
 * @param services the services that serve the requests, with their weights
 * @param maxAttempts the maximum number of servers that may run a request
 * @param maxEventGapMillis the longest pause between the events of a stream that is on time, in milliseconds
 * @param resumable true if a broken stream may be resumed on another server
 * @param openToAll true if callers need no key of a customer
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long latencyTargetMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        long maxEventGapMillis,
        boolean resumable,
        boolean openToAll) {
    private static final long MIN_CALLER_TIMEOUT_MILLIS = 2_000;

    /** The caller timeout as a multiple of the latency target. */
    private static final long TIMEOUT_PER_TARGET = 4;

    /** The caller timeout as a multiple of the longest pause between events. */
    private static final long TIMEOUT_PER_EVENT_GAP = 8;

    /**
     * Returns the estimated time without a new event after which a caller abandons a stream, in milliseconds.
     */
    public long estimatedCallerTimeoutMillis() {
        return Math.max(
                MIN_CALLER_TIMEOUT_MILLIS,
                Math.max(TIMEOUT_PER_TARGET * latencyTargetMillis, TIMEOUT_PER_EVENT_GAP * maxEventGapMillis));
    }

    /** Returns true if a request may run more than once. */
    public boolean repeatable() {
        return kind == RouteKind.SAFE || kind == RouteKind.STREAMING && resumable;
    }

    /** Returns the name of the service for a request with the given hash, chosen in proportion to the weights. */
    public String serviceFor(int hash) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        int point = total == 0 ? 0 : Math.floorMod(hash, total);
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(0).service();
    }
}
