package org.verbenatray.placement;

/**
 * Estimates the time that an idle prefill engine needs for a prompt, from measurements.
 *
 * <p>The model is a fixed latency, during which the engine also works on other prompts, plus a time per token, plus a
 * time per pair of tokens that attend to each other. Its coefficients are fitted by regularized least squares with
 * exponential forgetting. Not thread-safe: all calls come from one thread.
 */
public final class PrefillTimeModel {
    private static final double PRIOR_LATENCY_MILLIS = 100;

    /** The prior time per 1,000 tokens. */
    private static final double PRIOR_MILLIS_PER_1K_TOKENS = 22;

    /** The prior time per 10 million pairs of tokens. */
    private static final double PRIOR_MILLIS_PER_10M_PAIRS = 5;

    /** The weight of the prior, as a number of measurements. */
    private static final double PRIOR_WEIGHT = 3;

    /** The factor by which the weight of all earlier measurements decreases with each new one. */
    private static final double FORGETTING_FACTOR = 0.99;

    /** The multiple of the estimate above which a measurement is ignored: the prompt must have waited unnoticed. */
    private static final double OUTLIER_FACTOR = 2.5;

    /** The minimum of an estimate as a share of its prior, which keeps all estimates positive. */
    private static final double MIN_PRIOR_SHARE = 0.1;

    /** The coefficients before the first measurement. */
    private static final double[] PRIOR = {PRIOR_LATENCY_MILLIS, PRIOR_MILLIS_PER_1K_TOKENS, PRIOR_MILLIS_PER_10M_PAIRS
    };

    /** The weighted sums of products of two features. */
    private final double[][] featureProducts = new double[PRIOR.length][PRIOR.length];

    /** The weighted sums of products of a feature and the measured time. */
    private final double[] timeProducts = new double[PRIOR.length];

    /** The estimated coefficients: the latency and the times per 1,000 tokens and per 10 million pairs. */
    private double[] coefficients = PRIOR.clone();

    private PrefillTimeModel() {}

    /** Creates a model that uses the prior until the first measurement. */
    public static PrefillTimeModel untrained() {
        return new PrefillTimeModel();
    }

    /**
     * Adds a measurement, unless it is an outlier.
     *
     * @param cachedTokens the number of prompt tokens that were cached
     * @param newTokens the number of prompt tokens that were processed
     * @param millis the time that this took, in milliseconds
     */
    public void addMeasurement(int cachedTokens, int newTokens, double millis) {
        double[] features = features(cachedTokens, newTokens);
        if (millis > OUTLIER_FACTOR * (coefficients[0] + busyMillis(features))) {
            return;
        }
        for (int row = 0; row < features.length; row++) {
            for (int column = 0; column < features.length; column++) {
                featureProducts[row][column] =
                        FORGETTING_FACTOR * featureProducts[row][column] + features[row] * features[column];
            }
            timeProducts[row] = FORGETTING_FACTOR * timeProducts[row] + features[row] * millis;
        }
        fit();
    }

    /** Returns the fixed latency per prompt, during which the engine also works on others, in milliseconds. */
    public double fixedLatencyMillis() {
        return coefficients[0];
    }

    /** Returns the time for which an engine is busy with new tokens after cached ones, in milliseconds. */
    public double busyMillis(int cachedTokens, int newTokens) {
        return busyMillis(features(cachedTokens, newTokens));
    }

    /** Returns the busy time for the given features, in milliseconds. */
    private double busyMillis(double[] features) {
        return features[1] * coefficients[1] + features[2] * coefficients[2];
    }

    /** Returns the features: 1 for the latency, thousands of tokens, and tens of millions of pairs. */
    private static double[] features(int cachedTokens, int newTokens) {
        double pairs = newTokens * (cachedTokens + newTokens / 2.0);
        return new double[] {1, newTokens / 1e3, pairs / 1e7};
    }

    /** Fits the coefficients by least squares with the prior as regularization, using Cramer's rule. */
    private void fit() {
        double[][] matrix = new double[PRIOR.length][];
        double[] rightSide = new double[PRIOR.length];
        for (int row = 0; row < matrix.length; row++) {
            matrix[row] = featureProducts[row].clone();
            matrix[row][row] += PRIOR_WEIGHT;
            rightSide[row] = timeProducts[row] + PRIOR_WEIGHT * PRIOR[row];
        }
        double denominator = determinant(matrix);
        double[] fitted = new double[PRIOR.length];
        for (int column = 0; column < fitted.length; column++) {
            double solved = determinant(withColumn(matrix, column, rightSide)) / denominator;
            fitted[column] = Math.max(MIN_PRIOR_SHARE * PRIOR[column], solved);
        }
        coefficients = fitted;
    }

    /** Returns a copy of the matrix with one column replaced. */
    private static double[][] withColumn(double[][] matrix, int column, double[] values) {
        double[][] result = new double[matrix.length][];
        for (int row = 0; row < matrix.length; row++) {
            result[row] = matrix[row].clone();
            result[row][column] = values[row];
        }
        return result;
    }

    /** Returns the determinant of a 3x3 matrix. */
    private static double determinant(double[][] m) {
        return m[0][0] * (m[1][1] * m[2][2] - m[1][2] * m[2][1])
                - m[0][1] * (m[1][0] * m[2][2] - m[1][2] * m[2][0])
                + m[0][2] * (m[1][0] * m[2][1] - m[1][1] * m[2][0]);
    }
}
