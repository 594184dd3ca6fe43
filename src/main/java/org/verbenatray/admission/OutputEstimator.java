package org.verbenatray.admission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Estimates the output length of a request from the recent responses of the same model to the same customer. Bounded by
 * the number of pairs of customer and model, of which the least useful are evicted. Thread-safe.
 */
public final class OutputEstimator {
    /** The default bound on the pairs of customer and model. */
    public static final int DEFAULT_MAX_PAIRS = 4_096;

    /** The estimate in tokens before the first response. */
    private static final int DEFAULT_TOKENS = 256;

    /** The number of responses from which a pair's own histogram is used instead of its model's. */
    private static final int MIN_RESPONSES = 8;

    private final Cache<Pair, DecayingHistogram> byPair;

    private final Cache<String, DecayingHistogram> byModel;

    private OutputEstimator(int maxPairs) {
        this.byPair = Caffeine.newBuilder()
                .maximumSize(maxPairs)
                .executor(Runnable::run)
                .build();
        this.byModel = Caffeine.newBuilder()
                .maximumSize(maxPairs)
                .executor(Runnable::run)
                .build();
    }

    /** Returns an empty estimator that keeps at most the given number of pairs of customer and model. */
    public static OutputEstimator create(int maxPairs) {
        return new OutputEstimator(maxPairs);
    }

    /** Records the number of output tokens of a complete response. */
    public void recordResponse(String customer, String model, int outputTokens) {
        byPair.get(new Pair(customer, model), pair -> DecayingHistogram.create())
                .add(outputTokens);
        byModel.get(model, name -> DecayingHistogram.create()).add(outputTokens);
    }

    /**
     * Returns the given quantile of the output length in tokens, at least 1 and at most the caller's bound.
     *
     * @param maxTokens the caller's own bound on the output in tokens
     * @param quantile the quantile, from 0 to 1
     */
    public int estimate(String customer, String model, int maxTokens, double quantile) {
        DecayingHistogram histogram = byPair.getIfPresent(new Pair(customer, model));
        if (histogram == null || histogram.count() < MIN_RESPONSES) {
            histogram = byModel.getIfPresent(model);
        }
        int expected = histogram == null ? DEFAULT_TOKENS : histogram.quantile(quantile);
        return Math.max(1, Math.min(maxTokens, expected));
    }

    /**
     * A pair of customer and model.
     *
     * @param customer the customer
     * @param model the model
     */
    private record Pair(String customer, String model) {}
}
