package org.verbenatray.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.verbenatray.time.Deadline;

/** The longest time that a request of each route has lately taken from its receipt to its end. Used on one thread. */
final class RecentDurations {
    /** The time in milliseconds for which a duration counts at least; it counts up to twice as long. */
    private static final long WINDOW_MILLIS = 10_000;

    private final Map<String, Window> byRoute = new HashMap<>();

    private RecentDurations() {}

    /** Creates an object that knows no durations. */
    static RecentDurations create() {
        return new RecentDurations();
    }

    /** Records that a request of a route has ended after the given time in milliseconds. */
    void record(String route, long millis, long nowNanos) {
        byRoute.merge(
                route,
                Window.startingWith(millis, nowNanos),
                (known, added) -> known.at(nowNanos).with(millis));
    }

    /** Returns the longest recent duration of a route in milliseconds; empty if none is known. */
    OptionalLong longestMillis(String route, long nowNanos) {
        Window window = byRoute.get(route);
        if (window == null || window.isOutdated(nowNanos)) {
            return OptionalLong.empty();
        }
        Window current = window.at(nowNanos);
        return OptionalLong.of(Math.max(current.longestMillis(), current.earlierMillis()));
    }

    /**
     * The longest durations of a window of time and of the one before it.
     *
     * @param longestMillis the longest in the window, in milliseconds
     * @param earlierMillis the longest in the window before, in milliseconds
     * @param end the end of the window
     */
    private record Window(long longestMillis, long earlierMillis, Deadline end) {
        static Window startingWith(long millis, long nowNanos) {
            return new Window(millis, 0, Deadline.afterMillis(nowNanos, WINDOW_MILLIS));
        }

        /** Returns whether all durations are too old to count. */
        boolean isOutdated(long nowNanos) {
            return Deadline.afterMillis(end.atNanos(), WINDOW_MILLIS).hasPassed(nowNanos);
        }

        /** Returns the window at the given time: the next one if this one has ended. */
        Window at(long nowNanos) {
            if (!end.hasPassed(nowNanos)) {
                return this;
            }
            long kept = isOutdated(nowNanos) ? 0 : longestMillis;
            return new Window(0, kept, Deadline.afterMillis(nowNanos, WINDOW_MILLIS));
        }

        Window with(long millis) {
            return new Window(Math.max(longestMillis, millis), earlierMillis, end);
        }
    }
}
