package org.verbenatray.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * How much slower or faster each engine is than the others, learned from its answers; for fleets of unequal engines. An
 * answer that waited for work nobody knew of looks like slowness, so the estimate follows a value that fewer than half
 * of the answers stay below. Used on one thread.
 */
final class EngineSpeeds {
    /** The smallest step of the estimate, in logarithmic units. */
    private static final double MIN_STEP = 0.06;

    /** The first step; the second is half of it, and so on. */
    private static final double FIRST_STEP = 0.6;

    /** The shortest processing time from which anything is learned; in shorter ones the latency prevails. */
    private static final double MIN_EXPECTED_MILLIS = 20;

    /** The largest difference to the others, as a factor. */
    private static final double MAX_FACTOR = 5;

    /** The share of answers that are faster than the estimate. */
    private final double quantile;

    private final Map<String, Estimate> byBoot = new HashMap<>();

    private EngineSpeeds(double quantile) {
        this.quantile = quantile;
    }

    /** Creates an object to which all engines are equal, with the share of answers that are faster than an estimate. */
    static EngineSpeeds ofQuantile(double quantile) {
        return new EngineSpeeds(quantile);
    }

    /**
     * Records an answer of an engine.
     *
     * @param boot the boot id of the engine
     * @param expectedMillis the processing time of the prompt and of those before it at an average engine
     * @param millis the time that the engine has taken for them
     */
    void record(String boot, double expectedMillis, double millis) {
        if (expectedMillis < MIN_EXPECTED_MILLIS) {
            return;
        }
        Estimate former = byBoot.getOrDefault(boot, Estimate.EQUAL);
        double step = Math.max(MIN_STEP, FIRST_STEP / (former.answers() + 1));
        boolean slower = Math.log(Math.max(millis, 1) / expectedMillis) > former.logFactor();
        double changed = former.logFactor() + step * (slower ? quantile : quantile - 1);
        double bound = Math.log(MAX_FACTOR);
        byBoot.put(boot, new Estimate(Math.max(-bound, Math.min(bound, changed)), former.answers() + 1));
    }

    /** Returns the time that an engine takes, as a multiple of that of the others. */
    double slowness(String boot) {
        return Math.exp(byBoot.getOrDefault(boot, Estimate.EQUAL).logFactor());
    }

    /** Forgets an engine that has ended. */
    void remove(String boot) {
        byBoot.remove(boot);
    }

    /**
     * What is known of an engine.
     *
     * @param logFactor the logarithm of its slowness
     * @param answers the number of answers from which it was learned
     */
    private record Estimate(double logFactor, int answers) {
        private static final Estimate EQUAL = new Estimate(0, 0);
    }
}
