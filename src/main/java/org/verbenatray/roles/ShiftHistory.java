package org.verbenatray.roles;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Follows the share of prompts in the work and estimates how long the present share will last from how long earlier
 * ones did. Not thread-safe; times must not decrease.
 */
public final class ShiftHistory {
    /** The difference of shares that counts as a shift. */
    private static final double SHIFT = 0.08;

    /** The number of past shifts that are kept. */
    private static final int KEPT = 6;

    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The shortest estimate in milliseconds. */
    private final long shortestMillis;

    /** The estimate in milliseconds before anything was learnt. */
    private final long longestMillis;

    /** The durations of past phases in milliseconds, the oldest first. */
    private final Deque<Long> pastMillis = new ArrayDeque<>();

    /** Whether the present phase has more prompts than the long run, unknown before the first one. */
    private Optional<Boolean> promptHeavy = Optional.empty();

    /** When the present phase began. */
    private long phaseStartNanos;

    /** Creates an empty history. */
    private ShiftHistory(long shortestMillis, long longestMillis) {
        this.shortestMillis = shortestMillis;
        this.longestMillis = longestMillis;
    }

    /** Returns an empty history whose estimates lie between the given bounds. */
    public static ShiftHistory create(long shortestMillis, long longestMillis) {
        return new ShiftHistory(shortestMillis, longestMillis);
    }

    /**
     * Notes the share of prompts in the engines' time, from 0 to 1.
     *
     * @param nowNanos the present time
     * @param shortShare the share over the short window
     * @param longShare the share over the long window
     */
    public void observe(long nowNanos, double shortShare, double longShare) {
        if (Math.abs(shortShare - longShare) < SHIFT) {
            return;
        }
        boolean heavy = shortShare > longShare;
        if (promptHeavy.isEmpty() || promptHeavy.get() != heavy) {
            if (promptHeavy.isPresent()) {
                pastMillis.addLast((nowNanos - phaseStartNanos) / NANOS_PER_MILLI);
            }
            if (pastMillis.size() > KEPT) {
                pastMillis.removeFirst();
            }
            promptHeavy = Optional.of(heavy);
            phaseStartNanos = nowNanos;
        }
    }

    /** Returns how long the present share is likely to last in milliseconds. */
    public long expectedMillis(long nowNanos) {
        long elapsed = (nowNanos - phaseStartNanos) / NANOS_PER_MILLI;
        if (pastMillis.isEmpty()) {
            return longestMillis;
        }
        double mean = pastMillis.stream().mapToLong(Long::longValue).average().orElse(longestMillis);
        long remaining = elapsed < mean ? (long) mean - elapsed : elapsed;
        return Math.max(shortestMillis, Math.min(longestMillis, remaining));
    }
}
