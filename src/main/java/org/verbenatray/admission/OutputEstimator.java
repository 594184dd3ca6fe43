package org.verbenatray.admission;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Estimates how many tokens a request will generate, from the recent answers to the same customer by the same model.
 * Thread-safe; bounded by the number of pairs of customer and model, of which the least useful are forgotten.
 */
public final class OutputEstimator {
    /** The usual bound on the pairs of customer and model. */
    public static final int DEFAULT_PAIRS = 4_096;

    /** The estimate before any answer in tokens. */
    private static final int DEFAULT_TOKENS = 256;

    /** The answers of a pair from which on its own distribution is used. */
    private static final int MIN_ANSWERS = 8;

    /** The distributions by customer and model. */
    private final Cache<Pair, DecayedQuantiles> byPair;

    /** The distributions by model. */
    private final Cache<String, DecayedQuantiles> byModel;

    /** Creates an estimator with the given bound. */
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

    /** Returns an estimator without answers that keeps at most the given number of pairs. */
    public static OutputEstimator create(int maxPairs) {
        return new OutputEstimator(maxPairs);
    }

    /** Notes the number of tokens of a whole answer. */
    public void onAnswer(String customer, String model, int outputTokens) {
        byPair.get(new Pair(customer, model), pair -> DecayedQuantiles.create()).add(outputTokens);
        byModel.get(model, name -> DecayedQuantiles.create()).add(outputTokens);
    }

    /**
     * Returns the tokens that the given part of the answers does not exceed.
     *
     * @param maxTokens the caller's own bound on the output
     * @param quantile the part of the answers, from 0 to 1
     */
    public int estimate(String customer, String model, int maxTokens, double quantile) {
        DecayedQuantiles quantiles = byPair.getIfPresent(new Pair(customer, model));
        if (quantiles == null || quantiles.answers() < MIN_ANSWERS) {
            quantiles = byModel.getIfPresent(model);
        }
        int expected = quantiles == null ? DEFAULT_TOKENS : quantiles.quantile(quantile);
        return Math.max(1, Math.min(maxTokens, expected));
    }

    /**
     * A customer and a model.
     *
     * @param customer the customer
     * @param model the model
     */
    private record Pair(String customer, String model) {}
}
