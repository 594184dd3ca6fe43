package org.verbenatray.relay;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts the requests that were read whole and how they ended: each must end exactly once. Used on one thread.
 */
public final class RequestCounts {
    private final RelayMetrics metrics;
    private final Map<RequestEnd, Long> ended = new EnumMap<>(RequestEnd.class);
    private long read;

    private RequestCounts(RelayMetrics metrics) {
        this.metrics = metrics;
    }

    /** Creates counts of zero that are also recorded in the given metrics. */
    public static RequestCounts create(RelayMetrics metrics) {
        return new RequestCounts(metrics);
    }

    /** Counts a request that was read whole. */
    void recordRead() {
        read++;
        metrics.recordRequestRead();
        metrics.setOpenRequests(open());
    }

    /** Counts the end of a request. */
    void recordEnd(RequestEnd end) {
        ended.merge(end, 1L, Long::sum);
        metrics.recordRequestEnd(end.label());
        metrics.setOpenRequests(open());
    }

    /** Returns the number of requests that were read whole. */
    public long read() {
        return read;
    }

    /** Returns the number of requests that have ended, by how they ended; ways that did not occur are absent. */
    public Map<RequestEnd, Long> ends() {
        return Map.copyOf(ended);
    }

    /** Returns the number of requests that were read and have not ended. */
    public int open() {
        long endedCount = ended.values().stream().mapToLong(Long::longValue).sum();
        return (int) (read - endedCount);
    }
}
