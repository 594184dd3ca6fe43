package org.verbenatray.catalog;

import java.util.List;

/**
 * A rule that sends the requests of one host and path prefix to services.
 *
 * @param name the name of the route
 * @param host the host in lower case without a port
 * @param pathPrefix the prefix of the path, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis the longest time in milliseconds until the final answer
 * @param targetMillis the time in milliseconds within which an answer is on time
 * @param priority the rank, zero first
 * @param services the services that take the requests, with their shares
 * @param maxAttempts the number of servers that one request may be sent to
 * @param gapMillis the longest pause in milliseconds between the events of a stream that is on time
 * @param resumable whether a broken stream may go on at another server
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        long timeoutMillis,
        long targetMillis,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        long gapMillis,
        boolean resumable) {
    /** The shortest time in milliseconds after which a caller leaves a stream that shows nothing new. */
    private static final long MIN_PATIENCE_MILLIS = 2_000;

    /** The multiple of the target after which it leaves. */
    private static final long PATIENCE_TARGETS = 4;

    /** The multiple of the longest pause after which it leaves. */
    private static final long PATIENCE_GAPS = 8;

    /** Returns the time in milliseconds after which a caller leaves a stream that shows nothing new. */
    public long patienceMillis() {
        return Math.max(MIN_PATIENCE_MILLIS, Math.max(PATIENCE_TARGETS * targetMillis, PATIENCE_GAPS * gapMillis));
    }

    /** Returns whether a request may run more than once. */
    public boolean repeatable() {
        return kind == CallKind.SAFE || kind == CallKind.STREAMING && resumable;
    }

    /** Returns the service that takes the request with the given hash. */
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
