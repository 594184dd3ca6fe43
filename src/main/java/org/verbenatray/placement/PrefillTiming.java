package org.verbenatray.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Learns how long a prefill engine takes: a fixed latency, in which it works on others, and a time per token.
 *
 * <p>A measurement is too slow where the prompt waited, and too fast where the engine kept a part of it unknown to this
 * instance; the median of many is neither.
 */
public final class PrefillTiming {
    /** The speed assumed before enough measurements, in tokens per millisecond. */
    private static final double ASSUMED_SPEED = 40;

    /** The smallest prompt that tells something of the speed, in tokens. */
    private static final int MIN_TOKENS = 4_000;

    /** The measurements before which the assumption holds. */
    private static final int MIN_SAMPLES = 9;

    /** The measurements that are kept. */
    private static final int MAX_SAMPLES = 101;

    /** The newest measurements. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /** The speed in tokens per millisecond. */
    private double speed = ASSUMED_SPEED;

    /** The fixed latency in milliseconds. */
    private double fixedMillis;

    /** Creates an estimate. */
    private PrefillTiming() {}

    /** Returns an estimate that has seen no prompt yet. */
    public static PrefillTiming unmeasured() {
        return new PrefillTiming();
    }

    /** Takes the time in milliseconds that an engine needed for the tokens that it had to process. */
    public void measured(int tokens, double millis) {
        samples.addLast(new Sample(tokens, millis));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
        if (samples.size() >= MIN_SAMPLES) {
            learn();
        }
    }

    /** Returns the time per prompt in milliseconds that does not depend on its size. */
    public double fixedMillis() {
        return fixedMillis;
    }

    /** Returns the time in milliseconds that an engine is busy with the given tokens. */
    public double millisFor(double tokens) {
        return tokens / speed;
    }

    /** Derives the latency from the fastest measurement and the speed from the median of the others. */
    private void learn() {
        fixedMillis = samples.stream().mapToDouble(Sample::millis).min().orElse(0);
        List<Double> speeds = samples.stream()
                .filter(sample -> sample.tokens() >= MIN_TOKENS && sample.millis() > fixedMillis)
                .map(sample -> sample.tokens() / (sample.millis() - fixedMillis))
                .sorted()
                .toList();
        if (speeds.size() >= MIN_SAMPLES) {
            speed = speeds.get(speeds.size() / 2);
        }
    }

    /**
     * A measurement.
     *
     * @param tokens the tokens that were processed
     * @param millis the time in milliseconds
     */
    private record Sample(int tokens, double millis) {}
}
