package org.verbenatray.admission;

/**
 * Histogram of token counts with exponential buckets, in which each value weighs a little less than the one after it.
 * Its memory does not grow with the number of values. Thread-safe.
 */
final class DecayingHistogram {
    /** Buckets per doubling of the value. */
    private static final int BUCKETS_PER_OCTAVE = 4;

    /** Doublings covered by the buckets; larger values count in the last bucket. */
    private static final int OCTAVES = 20;

    /** The weight of a value relative to the one after it. */
    private static final double DECAY = 0.98;

    /** The weight of a new value above which all weights are scaled down to avoid an overflow. */
    private static final double MAX_WEIGHT = 1e12;

    private final double[] weights = new double[BUCKETS_PER_OCTAVE * OCTAVES];

    private double nextWeight = 1;

    private long count;

    private DecayingHistogram() {}

    /** Returns an empty histogram. */
    static DecayingHistogram create() {
        return new DecayingHistogram();
    }

    /** Adds a value in tokens. */
    synchronized void add(int tokens) {
        count++;
        weights[bucket(tokens)] += nextWeight;
        nextWeight /= DECAY;
        if (nextWeight > MAX_WEIGHT) {
            for (int bucket = 0; bucket < weights.length; bucket++) {
                weights[bucket] /= nextWeight;
            }
            nextWeight = 1;
        }
    }

    /** Returns the number of values added. */
    synchronized long count() {
        return count;
    }

    /**
     * Returns the upper bound in tokens of the bucket that contains the quantile, at most a fifth above the exact
     * value.
     */
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

    private static int bucket(int tokens) {
        double octaves = Math.log(Math.max(1, tokens)) / Math.log(2);
        return Math.min(BUCKETS_PER_OCTAVE * OCTAVES - 1, (int) Math.ceil(octaves * BUCKETS_PER_OCTAVE));
    }

    private static int upperBound(int bucket) {
        return (int) Math.floor(Math.pow(2, (double) bucket / BUCKETS_PER_OCTAVE));
    }
}
