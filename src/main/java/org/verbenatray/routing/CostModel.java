package org.verbenatray.routing;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineView;

/**
 * The expected times of a request on an engine and the score that weighs them. A pure function of its parameters.
 *
 * @param interference the part by which a full batch of decodes slows the prefill on the same engine and a second of
 *     queued prefill slows the decodes
 * @param outputWeight the weight of the expected time to generate the output, against the time to the first token
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
        double interference,
        double outputWeight,
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
        return new CostModel(0.5, 1, 1_600, 26, 4, 40, 5, 10_000_000, 500, 500);
    }

    /** Returns the time until the engine has processed its queue and the uncached part of a prompt. */
    public double prefillMillis(EngineView engine, long uncachedTokens) {
        EngineSpec spec = engine.spec();
        double tokens = (double) engine.queuedPrefillTokens() + uncachedTokens;
        double alone = tokens / Math.max(1, spec.prefillTokensPerSecond()) * MILLIS_PER_SECOND;
        if (engine.role() != EngineRole.BOTH) {
            return alone;
        }
        double batchShare = Math.min(1, (double) engine.runningStreams() / Math.max(1, spec.maxStreams()));
        return alone * (1 + interference * batchShare);
    }

    /** Returns the time between tokens once the request has joined the engine's batch. */
    public double betweenTokensMillis(EngineView engine) {
        EngineSpec spec = engine.spec();
        double step = spec.decodeStepMillis() + spec.decodeStepMillisPerStream() * engine.runningStreams();
        if (engine.role() != EngineRole.BOTH) {
            return step;
        }
        double queuedSeconds = engine.queuedPrefillTokens() / Math.max(1, spec.prefillTokensPerSecond());
        return step * (1 + interference * Math.min(1, queuedSeconds));
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
    public double score(double firstTokenMillis, double betweenTokensMillis, int outputTokens) {
        double times = firstTokenMillis + outputWeight * outputTokens * betweenTokensMillis;
        double firstExcess = Math.max(0, firstTokenMillis - firstTokenTargetMillis);
        double betweenExcess = Math.max(0, betweenTokensMillis - betweenTokensTargetMillis);
        return times + targetPenalty * (firstExcess + outputTokens * betweenExcess);
    }
}
