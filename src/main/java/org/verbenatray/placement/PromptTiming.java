package org.verbenatray.placement;

/**
 * Learns how long a prefill engine takes for a prompt that finds no other one there: a fixed latency, in which it works
 * on others too, a time per token, and a time per pair of tokens that attend to one another.
 */
public final class PromptTiming {
    /** The latency in milliseconds assumed before the first measurement. */
    private static final double ASSUMED_LATENCY_MILLIS = 100;

    /** The time per 1,000 tokens in milliseconds assumed before the first measurement. */
    private static final double ASSUMED_MILLIS_PER_1K = 22;

    /** The time per 10 million pairs of tokens in milliseconds assumed before the first measurement. */
    private static final double ASSUMED_MILLIS_PER_10M = 5;

    /** The measurements that the assumption weighs as much as. */
    private static final double ASSUMPTION_WEIGHT = 3;

    /** The weight that a measurement keeps when the next one comes. */
    private static final double KEPT = 0.99;

    /** The multiple of the expected time from which a measurement is taken for one that waited unseen. */
    private static final double OUTLIER = 2.5;

    /** The share of an assumption below which an estimate does not go. */
    private static final double LEAST_SHARE = 0.1;

    /** The assumed latency and times. */
    private static final double[] ASSUMED = {ASSUMED_LATENCY_MILLIS, ASSUMED_MILLIS_PER_1K, ASSUMED_MILLIS_PER_10M};

    /** The sums of products of what was measured with itself. */
    private final double[][] products = new double[ASSUMED.length][ASSUMED.length];

    /** The sums of products of what was measured with the time that it took. */
    private final double[] times = new double[ASSUMED.length];

    /** The estimates: the latency and the times per 1,000 tokens and 10 million pairs. */
    private double[] estimates = ASSUMED.clone();

    /** Creates an estimate. */
    private PromptTiming() {}

    /** Returns an estimate that has seen no prompt yet. */
    public static PromptTiming unmeasured() {
        return new PromptTiming();
    }

    /** Takes the time in milliseconds that an engine took for new tokens after those that it kept. */
    public void measured(int kept, int tokens, double millis) {
        double[] features = features(kept, tokens);
        if (millis > OUTLIER * (estimates[0] + processing(features))) {
            return;
        }
        for (int row = 0; row < features.length; row++) {
            for (int column = 0; column < features.length; column++) {
                products[row][column] = KEPT * products[row][column] + features[row] * features[column];
            }
            times[row] = KEPT * times[row] + features[row] * millis;
        }
        learn();
    }

    /** Returns the time per prompt in milliseconds that does not keep the engine from others. */
    public double latencyMillis() {
        return estimates[0];
    }

    /** Returns the time in milliseconds that an engine is busy with new tokens after those that it kept. */
    public double busyMillis(int kept, int tokens) {
        return processing(features(kept, tokens));
    }

    /** Returns the busy time of some features. */
    private double processing(double[] features) {
        return features[1] * estimates[1] + features[2] * estimates[2];
    }

    /** Returns what the time depends on. */
    private static double[] features(int kept, int tokens) {
        double pairs = tokens * (kept + tokens / 2.0);
        return new double[] {1, tokens / 1e3, pairs / 1e7};
    }

    /** Fits the estimates to the measurements by least squares, drawn towards the assumption. */
    private void learn() {
        double[][] matrix = new double[ASSUMED.length][];
        double[] right = new double[ASSUMED.length];
        for (int row = 0; row < matrix.length; row++) {
            matrix[row] = products[row].clone();
            matrix[row][row] += ASSUMPTION_WEIGHT;
            right[row] = times[row] + ASSUMPTION_WEIGHT * ASSUMED[row];
        }
        double all = determinant(matrix);
        double[] fitted = new double[ASSUMED.length];
        for (int column = 0; column < fitted.length; column++) {
            double solved = determinant(replaced(matrix, column, right)) / all;
            fitted[column] = Math.max(LEAST_SHARE * ASSUMED[column], solved);
        }
        estimates = fitted;
    }

    /** Returns a matrix with one column replaced. */
    private static double[][] replaced(double[][] matrix, int column, double[] by) {
        double[][] result = new double[matrix.length][];
        for (int row = 0; row < matrix.length; row++) {
            result[row] = matrix[row].clone();
            result[row][column] = by[row];
        }
        return result;
    }

    /** Returns the determinant of a matrix of three rows. */
    private static double determinant(double[][] m) {
        return m[0][0] * (m[1][1] * m[2][2] - m[1][2] * m[2][1])
                - m[0][1] * (m[1][0] * m[2][2] - m[1][2] * m[2][0])
                + m[0][2] * (m[1][0] * m[2][1] - m[1][1] * m[2][0]);
    }
}
