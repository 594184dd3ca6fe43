package org.verbenatray.routing;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineView;

/**
 * The expected times of a request on an engine and the score that weighs them. A pure function of its parameters.
 *
 * @param chunkTokens the prompt tokens that an engine in role BOTH processes together with one decode step
 * @param outputWeight the weight of the expected time to generate the output, against the time to the first token
 * @param othersWeight the weight of the delay that the request causes to the streams that run on its engines
 * @param firstTokenTargetMillis the time to the first token above which each millisecond costs a penalty
 * @param betweenTokensTargetMillis the time between tokens above which each millisecond costs a penalty
 * @param targetPenalty the penalty for each millisecond above a target
 * @param crossDomainMillis the price of an engine outside the own failure domain in milliseconds
 * @param transferMillis the fixed time of a transfer of KV cache in milliseconds
 * @param transferBytesPerMilli the rate of a transfer of KV cache in bytes per millisecond
 * @param freshReportMillis the age in milliseconds up to which a load report costs nothing
 * @param maxStaleMillis the largest price of an old load report in milliseconds
 */
public record CostModel(
        int chunkTokens,
        double outputWeight,
        double othersWeight,
        double firstTokenTargetMillis,
        double betweenTokensTargetMillis,
        double targetPenalty,
        double crossDomainMillis,
        double transferMillis,
        double transferBytesPerMilli,
        double freshReportMillis,
        double maxStaleMillis) {
    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The part of a report's age beyond the fresh time that counts as a price. */
    private static final double STALE_PRICE_PER_MILLI = 0.1;

    /** Returns the usual parameters: targets of 1.6 s and 26 ms, transfers at 10 GB a second. */
    public static CostModel defaults() {
        return new CostModel(256, 1, 0.2, 1_600, 26, 4, 40, 5, 10_000_000, 500, 500);
    }

    /** Returns the time until the engine has processed its queue and the uncached part of a prompt. */
    public double prefillMillis(EngineView engine, long uncachedTokens) {
        double tokens = (double) engine.queuedPrefillTokens() + uncachedTokens;
        double alone = millis(engine.spec(), tokens);
        if (engine.role() != EngineRole.BOTH || engine.runningStreams() == 0) {
            return alone;
        }
        return alone + tokens / chunkTokens * stepMillis(engine.spec(), engine.runningStreams());
    }

    /** Returns the time between tokens once the request has joined the engine's batch, as a mean over its output. */
    public double betweenTokensMillis(EngineView engine, int outputTokens) {
        double step = stepMillis(engine.spec(), engine.runningStreams() + 1);
        if (engine.role() != EngineRole.BOTH) {
            return step;
        }
        double stepsWithPrefill = (double) engine.queuedPrefillTokens() / chunkTokens;
        double share = Math.min(1, stepsWithPrefill / Math.max(1, outputTokens));
        return step + share * millis(engine.spec(), chunkTokens);
    }

    /** Returns the delay that the uncached part of a prompt causes to all streams that run on the engine. */
    public double prefillDelayMillis(EngineView engine, long uncachedTokens) {
        if (engine.role() != EngineRole.BOTH) {
            return 0;
        }
        return engine.runningStreams() * millis(engine.spec(), uncachedTokens);
    }

    /** Returns the delay that one more stream causes to all streams that run on the engine. */
    public double decodeDelayMillis(EngineView engine, int outputTokens) {
        return engine.runningStreams() * engine.spec().decodeStepMillisPerStream() * outputTokens;
    }

    /** Returns the time to move the KV cache of a prompt between two engines. */
    public double transferMillis(long promptTokens, int kvBytesPerToken, boolean crossesDomains) {
        double bytes = (double) promptTokens * kvBytesPerToken;
        double latency = crossesDomains ? crossDomainMillis : 0;
        return transferMillis + bytes / transferBytesPerMilli + latency;
    }

    /** Returns the price of an engine that is not in the own failure domain or whose load report is old. */
    public double cautionMillis(EngineView engine, String ownDomain) {
        double age = Math.max(0, engine.reportAgeMillis() - freshReportMillis);
        double stale = Math.min(maxStaleMillis, age * STALE_PRICE_PER_MILLI);
        boolean foreign = !engine.spec().failureDomain().equals(ownDomain);
        return foreign ? stale + crossDomainMillis : stale;
    }

    /** Returns the score of a route in milliseconds, smaller is better, before the price of caution. */
    public double score(
            double firstTokenMillis, double betweenTokensMillis, int outputTokens, double othersDelayMillis) {
        double times = firstTokenMillis + outputWeight * outputTokens * betweenTokensMillis;
        double firstExcess = Math.max(0, firstTokenMillis - firstTokenTargetMillis);
        double betweenExcess = Math.max(0, betweenTokensMillis - betweenTokensTargetMillis);
        double penalty = targetPenalty * (firstExcess + outputTokens * betweenExcess);
        return times + penalty + othersWeight * othersDelayMillis;
    }

    /** Returns the time of one decode step of a batch. */
    private static double stepMillis(EngineSpec spec, int streams) {
        return spec.decodeStepMillis() + spec.decodeStepMillisPerStream() * (streams - 1);
    }

    /** Returns the time in which an engine processes prompt tokens and does nothing else. */
    private static double millis(EngineSpec spec, double tokens) {
        return tokens / Math.max(1, spec.prefillTokensPerSecond()) * MILLIS_PER_SECOND;
    }
}
