package org.verbenatray.bench;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.verbenatray.bench.MixStatistics.KindCounts;

/**
 * The figures of one experiment.
 *
 * @param deployment the fleet
 * @param shape the shape of the mix
 * @param policy the policy of role changes
 * @param seed the seed
 * @param goodputPerSecond whole answers within their deadlines per second
 * @param goodTokensPerSecond their prompt and output tokens per second
 * @param roleChanges the ordered role changes
 * @param lostEngineSeconds the engine time from the orders to the service in the new role in seconds
 * @param refused the requests that were refused without being run
 * @param longestWaitMillis the longest time to a first token or to the final refusal in milliseconds
 * @param kinds the figures by kind
 */
public record MixResult(
        String deployment,
        String shape,
        String policy,
        long seed,
        double goodputPerSecond,
        double goodTokensPerSecond,
        int roleChanges,
        double lostEngineSeconds,
        int refused,
        long longestWaitMillis,
        Map<RequestKind, KindResult> kinds) {

    /** Returns the figures of finished counts. */
    static MixResult of(MixRun run, MixStatistics statistics) {
        Map<RequestKind, KindResult> kinds = new EnumMap<>(RequestKind.class);
        double good = 0;
        double tokens = 0;
        int refused = 0;
        for (RequestKind kind : RequestKind.values()) {
            KindCounts counts = statistics.of(kind);
            kinds.put(kind, KindResult.of(counts));
            good += counts.good;
            tokens += counts.goodTokens;
            refused += counts.refused;
        }
        return new MixResult(
                run.deployment().name(),
                run.shape().name(),
                run.policy(),
                run.seed(),
                good / MixShape.SECONDS,
                tokens / MixShape.SECONDS,
                statistics.changes(),
                statistics.lostSeconds(),
                refused,
                statistics.longestWaitMillis(),
                kinds);
    }

    /**
     * The figures of one kind of requests.
     *
     * @param offered the requests that arrived
     * @param good the whole answers within their deadlines
     * @param refused the requests that were refused without being run
     * @param late the requests that were given up at their deadlines
     * @param firstTokenMillis the times to the first token in milliseconds
     * @param betweenTokensMillis the times between tokens in milliseconds
     */
    public record KindResult(
            int offered, int good, int refused, int late, Quantiles firstTokenMillis, Quantiles betweenTokensMillis) {
        /** Returns the figures of counts. */
        static KindResult of(KindCounts counts) {
            return new KindResult(
                    counts.offered,
                    counts.good,
                    counts.refused,
                    counts.late,
                    Quantiles.of(counts.firstToken),
                    Quantiles.of(counts.betweenTokens));
        }
    }

    /**
     * Quantiles of times in milliseconds.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     */
    public record Quantiles(double p50, double p95, double p99) {
        /** Returns the quantiles of times in microseconds. */
        static Quantiles of(Histogram micros) {
            return new Quantiles(
                    micros.getValueAtPercentile(50) / 1e3,
                    micros.getValueAtPercentile(95) / 1e3,
                    micros.getValueAtPercentile(99) / 1e3);
        }
    }
}
