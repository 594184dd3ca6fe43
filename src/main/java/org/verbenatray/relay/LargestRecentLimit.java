package org.verbenatray.relay;

import java.util.ArrayList;
import java.util.List;
import org.verbenatray.time.Deadline;

/**
 * A limit of the configuration, together with its earlier values for as long as callers may still go by them.
 *
 * <p>Callers read the configuration on their own, so a caller may go by a value for some time after it was replaced.
 * Used on one thread.
 */
final class LargestRecentLimit {
    /** The time in milliseconds within which every caller goes by a new value. */
    private static final long SPREAD_MILLIS = 10_000;

    private final List<Replaced> replaced = new ArrayList<>();

    private long currentMillis;

    private LargestRecentLimit(long currentMillis) {
        this.currentMillis = currentMillis;
    }

    /** Creates a limit with its first value in milliseconds. */
    static LargestRecentLimit startingAt(long millis) {
        return new LargestRecentLimit(millis);
    }

    /** Replaces the value by another one in milliseconds. */
    void replace(long millis, long nowNanos) {
        replaced.removeIf(earlier -> earlier.isWithoutEffect(nowNanos));
        if (millis != currentMillis) {
            replaced.add(new Replaced(currentMillis, Deadline.afterMillis(nowNanos, SPREAD_MILLIS)));
            currentMillis = millis;
        }
    }

    /** Returns the largest value in milliseconds that a caller may go by for a wait that began at the given time. */
    long forWaitSince(long startNanos) {
        return replaced.stream()
                .filter(earlier -> !earlier.usedUntil().hasPassed(startNanos))
                .mapToLong(Replaced::millis)
                .reduce(currentMillis, Math::max);
    }

    /**
     * A value that was replaced.
     *
     * @param millis the value
     * @param usedUntil when no caller begins a wait by it any more
     */
    private record Replaced(long millis, Deadline usedUntil) {
        /** Returns whether all waits to which the value applies are over. */
        boolean isWithoutEffect(long nowNanos) {
            return Deadline.afterMillis(usedUntil.atNanos(), millis).hasPassed(nowNanos);
        }
    }
}
