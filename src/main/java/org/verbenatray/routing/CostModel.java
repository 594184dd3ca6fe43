package org.verbenatray.routing;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;
import org.verbenatray.fleet.EngineView;

/**
 * Estimates the latency of a request on an engine, and the score by which routes are compared. A pure function of its
 * parameters.
 *
 * @param prefillChunkTokens the prompt tokens that an engine in role BOTH processes together with one decode step
 * @param outputWeight the weight of the expected time to generate the output, relative to the time to first token
 * @param otherStreamsWeight the weight of the delay that the request causes to the streams that run on its engines
 * @param firstTokenTargetMillis the time to first token above which each millisecond adds a penalty
 * @param betweenTokensTargetMillis the time between tokens above which each millisecond adds a penalty
 * @param penaltyPerExcessMilli the penalty in milliseconds for each millisecond above a target
 * @param crossDomainLatencyMillis the cost in milliseconds of an engine outside the instance's failure domain, and of a
 *     KV cache transfer between failure domains
 * @param fixedTransferMillis the fixed part of the time of a KV cache transfer in milliseconds
 * @param transferBytesPerMilli the rate of a KV cache transfer in bytes per millisecond
 * @param freshReportAgeMillis the age in milliseconds up to which a load report adds no penalty
 * @param maxStalePenaltyMillis the largest penalty for an old load report in milliseconds
 */
public record CostModel(
        int prefillChunkTokens,
        double outputWeight,
        double otherStreamsWeight,
        double firstTokenTargetMillis,
        double betweenTokensTargetMillis,
        double penaltyPerExcessMilli,
        double crossDomainLatencyMillis,
        double fixedTransferMillis,
        double transferBytesPerMilli,
        double freshReportAgeMillis,
        double maxStalePenaltyMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The penalty per millisecond of the age of a load report beyond the fresh age. */
    private static final double STALE_PENALTY_PER_MILLI = 0.1;

    /** Returns the default parameters: targets of 1.6 s and 26 ms, and transfers at 10 GB per second. */
    public static CostModel defaults() {
        return new CostModel(256, 1, 0.2, 1_600, 26, 4, 40, 5, 10_000_000, 500, 500);
    }

    /**
     * Returns the time in milliseconds until the engine has processed its prefill queue and the uncached part of a
     * prompt.
     */
    public double prefillMillis(EngineView engine, long uncachedTokens) {
        double tokens = (double) engine.queuedPrefillTokens() + uncachedTokens;
        double prefillOnly = prefillOnlyMillis(engine.spec(), tokens);
        if (engine.role() != EngineRole.BOTH || engine.runningStreams() == 0) {
            return prefillOnly;
        }
        return prefillOnly + tokens / prefillChunkTokens * decodeStepMillis(engine.spec(), engine.runningStreams());
    }

    /**
     * Returns the mean time between tokens in milliseconds over the request's output, once the request has joined the
     * engine's batch.
     */
    public double betweenTokensMillis(EngineView engine, int outputTokens) {
        double step = decodeStepMillis(engine.spec(), engine.runningStreams() + 1);
        if (engine.role() != EngineRole.BOTH) {
            return step;
        }
        double stepsWithPrefill = (double) engine.queuedPrefillTokens() / prefillChunkTokens;
        double share = Math.min(1, stepsWithPrefill / Math.max(1, outputTokens));
        return step + share * prefillOnlyMillis(engine.spec(), prefillChunkTokens);
    }

    /**
     * Returns the total delay in milliseconds that the uncached part of a prompt causes to the streams that run on the
     * engine.
     */
    public double prefillDelayMillis(EngineView engine, long uncachedTokens) {
        if (engine.role() != EngineRole.BOTH) {
            return 0;
        }
        return engine.runningStreams() * prefillOnlyMillis(engine.spec(), uncachedTokens);
    }

    /** Returns the total delay in milliseconds that one more stream causes to the streams that run on the engine. */
    public double decodeDelayMillis(EngineView engine, int outputTokens) {
        return engine.runningStreams() * engine.spec().decodeStepMillisPerStream() * outputTokens;
    }

    /** Returns the time in milliseconds to transfer the KV cache of a prompt between two engines. */
    public double transferMillis(long promptTokens, int kvBytesPerToken, boolean crossesDomains) {
        double bytes = (double) promptTokens * kvBytesPerToken;
        double latency = crossesDomains ? crossDomainLatencyMillis : 0;
        return fixedTransferMillis + bytes / transferBytesPerMilli + latency;
    }

    /**
     * Returns the penalty in milliseconds for an engine outside the given failure domain or with an old load report.
     */
    public double penaltyMillis(EngineView engine, String ownDomain) {
        double age = Math.max(0, engine.reportAgeMillis() - freshReportAgeMillis);
        double stale = Math.min(maxStalePenaltyMillis, age * STALE_PENALTY_PER_MILLI);
        boolean remote = !engine.spec().failureDomain().equals(ownDomain);
        return remote ? stale + crossDomainLatencyMillis : stale;
    }

    /** Returns the score of a route in milliseconds, without the penalties for its engines. Smaller is better. */
    public double score(
            double firstTokenMillis, double betweenTokensMillis, int outputTokens, double otherStreamsDelayMillis) {
        double times = firstTokenMillis + outputWeight * outputTokens * betweenTokensMillis;
        double firstExcess = Math.max(0, firstTokenMillis - firstTokenTargetMillis);
        double betweenExcess = Math.max(0, betweenTokensMillis - betweenTokensTargetMillis);
        double penalty = penaltyPerExcessMilli * (firstExcess + outputTokens * betweenExcess);
        return times + penalty + otherStreamsWeight * otherStreamsDelayMillis;
    }

    /** Returns the time of one decode step of a batch in milliseconds. */
    private static double decodeStepMillis(EngineSpec spec, int streams) {
        return spec.decodeStepMillis() + spec.decodeStepMillisPerStream() * (streams - 1);
    }

    /** Returns the time in milliseconds in which an engine that does nothing else processes the prompt tokens. */
    private static double prefillOnlyMillis(EngineSpec spec, double tokens) {
        return tokens / Math.max(1, spec.prefillTokensPerSecond()) * MILLIS_PER_SECOND;
    }
}
