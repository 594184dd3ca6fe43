package org.verbenatray.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.verbenatray.load.CallResult.Outcome;

/** Counts and latencies of the calls of one run; thread-safe. */
public final class LoadSummary {
    private static final double NANOS_PER_MILLI = 1e6;

    /** The precision of the histograms in significant decimal digits. */
    private static final int HISTOGRAM_DIGITS = 3;

    /** The maximum number of failures kept with their details. */
    private static final int MAX_FAILURE_DETAILS = 20;

    private final Map<LoadCallKind, KindStatistics> kinds = new EnumMap<>(LoadCallKind.class);

    /** The details of the first calls that were neither complete nor rejected without running. */
    private final List<String> failureDetails = new ArrayList<>();

    private LoadSummary() {
        for (LoadCallKind kind : LoadCallKind.values()) {
            kinds.put(kind, new KindStatistics());
        }
    }

    /** Returns an empty summary. */
    public static LoadSummary create() {
        return new LoadSummary();
    }

    /** Adds the result of a call; only complete responses count in the latencies. */
    public synchronized void add(CallResult result) {
        KindStatistics kind = kinds.get(result.kind());
        kind.outcomes.merge(result.outcome(), 1, Integer::sum);
        if (result.outcome() == Outcome.WHOLE) {
            kind.firstTokenNanos.recordValue(result.firstTokenNanos());
            kind.betweenTokensNanos.recordValue(result.betweenTokensNanos());
            kind.totalNanos.recordValue(result.totalNanos());
        } else if (failureDetails.size() < MAX_FAILURE_DETAILS && result.outcome() != Outcome.NOT_RUN) {
            failureDetails.add(result.kind() + " " + result.outcome() + ": " + result.detail());
        }
    }

    /** Returns the number of calls of a kind with the given outcome. */
    public synchronized int count(LoadCallKind kind, Outcome outcome) {
        return kinds.get(kind).outcomes.getOrDefault(outcome, 0);
    }

    /** Returns the number of calls with the given outcome. */
    public synchronized int count(Outcome outcome) {
        return kinds.values().stream()
                .mapToInt(kind -> kind.outcomes.getOrDefault(outcome, 0))
                .sum();
    }

    /** Returns the number of all calls. */
    public synchronized int count() {
        return kinds.values().stream()
                .flatMap(kind -> kind.outcomes.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Returns the details of the first calls that were neither complete nor rejected without running. */
    public synchronized List<String> failureDetails() {
        return List.copyOf(failureDetails);
    }

    /** Returns the counts and latencies as a table with one row for each kind of call. */
    public synchronized String table() {
        StringBuilder table = new StringBuilder(String.format(
                "%-9s %6s %6s %8s %8s %5s %6s %18s %18s%n",
                "kind",
                "sent",
                "whole",
                "not run",
                "unknown",
                "lost",
                "wrong",
                "first p50/p95 ms",
                "between p50/p95 ms"));
        kinds.forEach((name, kind) -> table.append(row(name, kind)));
        return table.toString();
    }

    /** Returns a percentile, from 0 to 100, of the time to first token of complete calls of a kind, in milliseconds. */
    public synchronized double firstTokenMillis(LoadCallKind kind, double percentile) {
        return kinds.get(kind).firstTokenNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns a percentile, from 0 to 100, of the total time of complete calls of a kind, in milliseconds. */
    public synchronized double totalMillis(LoadCallKind kind, double percentile) {
        return kinds.get(kind).totalNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Formats one row of the table. */
    private static String row(LoadCallKind name, KindStatistics kind) {
        int sent = kind.outcomes.values().stream().mapToInt(Integer::intValue).sum();
        return String.format(
                "%-9s %6d %6d %8d %8d %5d %6d %18s %18s%n",
                name.name().toLowerCase(Locale.ROOT),
                sent,
                kind.outcomes.getOrDefault(Outcome.WHOLE, 0),
                kind.outcomes.getOrDefault(Outcome.NOT_RUN, 0),
                kind.outcomes.getOrDefault(Outcome.MAY_HAVE_RUN, 0),
                kind.outcomes.getOrDefault(Outcome.LOST, 0),
                kind.outcomes.getOrDefault(Outcome.WRONG, 0),
                medianAnd95thMillis(kind.firstTokenNanos),
                medianAnd95thMillis(kind.betweenTokensNanos));
    }

    /** Formats the median and the 95th percentile in milliseconds. */
    private static String medianAnd95thMillis(Histogram histogram) {
        return String.format(
                "%.1f / %.1f",
                histogram.getValueAtPercentile(50) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(95) / NANOS_PER_MILLI);
    }

    /** The counts and latencies of one kind of call. */
    private static final class KindStatistics {
        private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

        private final Histogram firstTokenNanos = new Histogram(HISTOGRAM_DIGITS);

        private final Histogram betweenTokensNanos = new Histogram(HISTOGRAM_DIGITS);

        private final Histogram totalNanos = new Histogram(HISTOGRAM_DIGITS);
    }
}
