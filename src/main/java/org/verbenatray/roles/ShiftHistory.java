package org.verbenatray.roles;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Tracks shifts of the mix of work between prompt-heavy and output-heavy phases, and estimates from the length of past
 * phases how long the current one will last. Not thread-safe; times must not decrease.
 */
public final class ShiftHistory {
    /** Minimum difference between the shares of the short and the long window that counts as a shift. */
    private static final double MIN_SHIFT = 0.08;

    private static final int MAX_PAST_PHASES = 6;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long minEstimateMillis;

    /** Maximum estimate in milliseconds, also used before the first phase has ended. */
    private final long maxEstimateMillis;

    /** Lengths of past phases in milliseconds, oldest first. */
    private final Deque<Long> pastPhaseMillis = new ArrayDeque<>();

    /** Whether the current phase has a larger prefill share than the long window; empty before the first phase. */
    private Optional<Boolean> promptHeavy = Optional.empty();

    /** Time in nanoseconds at which the current phase began; 0 before the first phase. */
    private long phaseStartNanos;

    private ShiftHistory(long minEstimateMillis, long maxEstimateMillis) {
        this.minEstimateMillis = minEstimateMillis;
        this.maxEstimateMillis = maxEstimateMillis;
    }

    /** Returns an empty history whose estimates lie between the given bounds in milliseconds. */
    public static ShiftHistory create(long minEstimateMillis, long maxEstimateMillis) {
        return new ShiftHistory(minEstimateMillis, maxEstimateMillis);
    }

    /**
     * Records the share of prefill in the time of the engines, from 0 to 1.
     *
     * @param nowNanos the current time in nanoseconds
     * @param shortShare the share over the short window
     * @param longShare the share over the long window
     */
    public void observe(long nowNanos, double shortShare, double longShare) {
        if (Math.abs(shortShare - longShare) < MIN_SHIFT) {
            return;
        }
        boolean heavy = shortShare > longShare;
        if (promptHeavy.isEmpty() || promptHeavy.get() != heavy) {
            if (promptHeavy.isPresent()) {
                pastPhaseMillis.addLast((nowNanos - phaseStartNanos) / NANOS_PER_MILLI);
            }
            if (pastPhaseMillis.size() > MAX_PAST_PHASES) {
                pastPhaseMillis.removeFirst();
            }
            promptHeavy = Optional.of(heavy);
            phaseStartNanos = nowNanos;
        }
    }

    /**
     * Returns the expected remaining time of the current phase in milliseconds. A phase that outlasts the mean of the
     * past ones is expected to last as long again as it has lasted so far.
     */
    public long expectedRemainingMillis(long nowNanos) {
        long elapsed = (nowNanos - phaseStartNanos) / NANOS_PER_MILLI;
        if (pastPhaseMillis.isEmpty()) {
            return maxEstimateMillis;
        }
        double mean =
                pastPhaseMillis.stream().mapToLong(Long::longValue).average().orElse(maxEstimateMillis);
        long remaining = elapsed < mean ? (long) mean - elapsed : elapsed;
        return Math.max(minEstimateMillis, Math.min(maxEstimateMillis, remaining));
    }
}
