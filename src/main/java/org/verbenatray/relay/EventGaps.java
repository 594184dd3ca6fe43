package org.verbenatray.relay;

import java.util.OptionalDouble;

/** The times between the events of one run at an engine. Used on one thread. */
final class EventGaps {
    /** When the last event was read, in nanoseconds of the ticker; null before the first. */
    private Long lastNanos;

    private long longestNanos = -1;

    /** Records an event that was read at the given time. */
    void record(long nowNanos) {
        if (lastNanos != null) {
            longestNanos = Math.max(longestNanos, nowNanos - lastNanos);
        }
        lastNanos = nowNanos;
    }

    /** Returns the longest time between two events in milliseconds, empty if there were fewer, and starts anew. */
    OptionalDouble takeLongestMillis() {
        OptionalDouble longest = longestNanos < 0 ? OptionalDouble.empty() : OptionalDouble.of(longestNanos / 1e6);
        lastNanos = null;
        longestNanos = -1;
        return longest;
    }
}
