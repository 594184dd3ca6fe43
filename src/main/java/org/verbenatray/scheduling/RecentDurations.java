package org.verbenatray.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.verbenatray.time.Deadline;

/** How long the requests of each route have lately taken from their receipt to their end. Used on one thread. */
public final class RecentDurations {
    /** The number of durations of a route that count at most: the newest. */
    private static final int MAX_COUNT = 100;

    /** The time in milliseconds for which a duration counts. */
    private static final long MAX_AGE_MILLIS = 20_000;

    /** The share of requests that take no longer than what is expected. */
    private static final double EXPECTED_QUANTILE = 0.9;

    /** The durations by route, the oldest first. */
    private final Map<String, Deque<Duration>> byRoute = new HashMap<>();

    private RecentDurations() {}

    /** Creates an object that knows no durations. */
    public static RecentDurations create() {
        return new RecentDurations();
    }

    /** Records that a request of a route has ended after the given time in milliseconds. */
    public void record(String route, long millis, long nowNanos) {
        Deque<Duration> durations = byRoute.computeIfAbsent(route, name -> new ArrayDeque<>());
        if (durations.size() == MAX_COUNT) {
            durations.removeFirst();
        }
        durations.addLast(new Duration(millis, Deadline.afterMillis(nowNanos, MAX_AGE_MILLIS)));
    }

    /**
     * Returns the time in milliseconds within which most requests of a route end; empty if none has ended lately.
     *
     * @param openMillis how long each open request of the route takes already, as servers may have become slow
     */
    public OptionalLong expectedMillis(String route, LongStream openMillis, long nowNanos) {
        Deque<Duration> durations = byRoute.getOrDefault(route, new ArrayDeque<>());
        while (!durations.isEmpty() && durations.peekFirst().countsUntil().hasPassed(nowNanos)) {
            durations.removeFirst();
        }
        if (durations.isEmpty()) {
            return OptionalLong.empty();
        }
        long[] sorted = LongStream.concat(openMillis, durations.stream().mapToLong(Duration::millis))
                .sorted()
                .toArray();
        return OptionalLong.of(sorted[(int) Math.ceil(EXPECTED_QUANTILE * sorted.length) - 1]);
    }

    /**
     * The duration of a request.
     *
     * @param millis the time from receipt to end in milliseconds
     * @param countsUntil when it is too old to count
     */
    private record Duration(long millis, Deadline countsUntil) {}
}
