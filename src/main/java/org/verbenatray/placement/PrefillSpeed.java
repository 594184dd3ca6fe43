package org.verbenatray.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Learns how many prompt tokens a prefill engine processes in a millisecond.
 *
 * <p>A measurement is too slow where the prompt waited, and too fast where the engine kept a part of it; the median of
 * many is neither.
 */
public final class PrefillSpeed {
    /** The speed assumed before enough measurements, in tokens per millisecond. */
    private static final double ASSUMED = 40;

    /** The smallest prompt that tells something of the speed, in tokens. */
    private static final int MIN_TOKENS = 3_000;

    /** The measurements before which the assumption holds. */
    private static final int MIN_SAMPLES = 9;

    /** The measurements that are kept. */
    private static final int MAX_SAMPLES = 41;

    /** The newest measurements in tokens per millisecond. */
    private final Deque<Double> samples = new ArrayDeque<>();

    /** The speed in tokens per millisecond. */
    private double speed = ASSUMED;

    /** Creates an estimate. */
    private PrefillSpeed() {}

    /** Returns an estimate that has seen no prompt yet. */
    public static PrefillSpeed unmeasured() {
        return new PrefillSpeed();
    }

    /** Takes the time in milliseconds that an engine needed for the tokens that it had to process. */
    public void measured(int tokens, double millis) {
        if (tokens < MIN_TOKENS || millis <= 0) {
            return;
        }
        samples.addLast(tokens / millis);
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
        if (samples.size() >= MIN_SAMPLES) {
            speed = samples.stream()
                    .sorted()
                    .skip(samples.size() / 2)
                    .findFirst()
                    .orElse(ASSUMED);
        }
    }

    /** Returns the expected time for the given tokens in milliseconds. */
    public double millisFor(double tokens) {
        return tokens / speed;
    }
}
