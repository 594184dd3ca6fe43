package org.verbenatray.admission;

/**
 * A distribution of token counts in which each value weighs a little less than the one after it. Thread-safe; its
 * memory does not grow with the number of values.
 */
final class DecayedQuantiles {
    /** The buckets for each doubling of the value. */
    private static final int BUCKETS_PER_OCTAVE = 4;

    /** The doublings that are told apart. */
    private static final int OCTAVES = 20;

    /** The weight of a value against the one after it. */
    private static final double DECAY = 0.98;

    /** The weight of a new value above which all weights are made smaller. */
    private static final double MAX_WEIGHT = 1e12;

    /** The summed weights by bucket. */
    private final double[] weights = new double[BUCKETS_PER_OCTAVE * OCTAVES];

    /** The weight of the next value. */
    private double nextWeight = 1;

    /** The number of values. */
    private long answers;

    /** Creates an empty distribution. */
    private DecayedQuantiles() {}

    /** Returns an empty distribution. */
    static DecayedQuantiles create() {
        return new DecayedQuantiles();
    }

    /** Adds a value. */
    synchronized void add(int tokens) {
        answers++;
        weights[bucket(tokens)] += nextWeight;
        nextWeight /= DECAY;
        if (nextWeight > MAX_WEIGHT) {
            for (int bucket = 0; bucket < weights.length; bucket++) {
                weights[bucket] /= nextWeight;
            }
            nextWeight = 1;
        }
    }

    /** Returns the number of values. */
    synchronized long answers() {
        return answers;
    }

    /** Returns the upper bound of the bucket that the quantile lies in, at most a fifth above the value itself. */
    synchronized int quantile(double quantile) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double wanted = total * quantile;
        double sum = 0;
        for (int bucket = 0; bucket < weights.length; bucket++) {
            sum += weights[bucket];
            if (sum >= wanted && sum > 0) {
                return upperBound(bucket);
            }
        }
        return upperBound(weights.length - 1);
    }

    /** Returns the bucket of a value. */
    private static int bucket(int tokens) {
        double octaves = Math.log(Math.max(1, tokens)) / Math.log(2);
        return Math.min(BUCKETS_PER_OCTAVE * OCTAVES - 1, (int) Math.ceil(octaves * BUCKETS_PER_OCTAVE));
    }

    /** Returns the largest value of a bucket. */
    private static int upperBound(int bucket) {
        return (int) Math.floor(Math.pow(2, (double) bucket / BUCKETS_PER_OCTAVE));
    }
}
