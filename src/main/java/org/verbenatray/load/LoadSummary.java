package org.verbenatray.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.verbenatray.load.CallResult.Outcome;

/** Counts and times of the calls of one run; thread-safe. */
public final class LoadSummary {
    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The precision of times in decimal digits. */
    private static final int DIGITS = 3;

    /** The number of failures that are kept with their details. */
    private static final int MAX_DETAILS = 20;

    /** The calls by kind. */
    private final Map<CallKind, Kind> kinds = new EnumMap<>(CallKind.class);

    /** The first calls that went wrong. */
    private final List<String> details = new ArrayList<>();

    /** Creates an empty summary. */
    private LoadSummary() {
        for (CallKind kind : CallKind.values()) {
            kinds.put(kind, new Kind());
        }
    }

    /** Returns an empty summary. */
    public static LoadSummary create() {
        return new LoadSummary();
    }

    /** Adds a call. */
    public synchronized void add(CallResult result) {
        Kind kind = kinds.get(result.kind());
        kind.outcomes.merge(result.outcome(), 1, Integer::sum);
        if (result.outcome() == Outcome.WHOLE) {
            kind.firstToken.recordValue(result.firstTokenNanos());
            kind.betweenTokens.recordValue(result.betweenTokensNanos());
            kind.total.recordValue(result.totalNanos());
        } else if (details.size() < MAX_DETAILS && result.outcome() != Outcome.NOT_RUN) {
            details.add(result.kind() + " " + result.outcome() + ": " + result.detail());
        }
    }

    /** Returns the number of calls of a kind that ended in a way. */
    public synchronized int count(CallKind kind, Outcome outcome) {
        return kinds.get(kind).outcomes.getOrDefault(outcome, 0);
    }

    /** Returns the number of calls that ended in a way. */
    public synchronized int count(Outcome outcome) {
        return kinds.values().stream()
                .mapToInt(kind -> kind.outcomes.getOrDefault(outcome, 0))
                .sum();
    }

    /** Returns the number of calls. */
    public synchronized int count() {
        return kinds.values().stream()
                .flatMap(kind -> kind.outcomes.values().stream())
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Returns the first calls that went wrong. */
    public synchronized List<String> details() {
        return List.copyOf(details);
    }

    /** Returns the table of the run. */
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

    /** Returns a time at a percentile of the whole answers of a kind in milliseconds. */
    public synchronized double firstTokenMillis(CallKind kind, double percentile) {
        return kinds.get(kind).firstToken.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the time of whole calls of a kind at a percentile in milliseconds. */
    public synchronized double totalMillis(CallKind kind, double percentile) {
        return kinds.get(kind).total.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns one row of the table. */
    private static String row(CallKind name, Kind kind) {
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
                millis(kind.firstToken),
                millis(kind.betweenTokens));
    }

    /** Returns the median and the 95th percentile. */
    private static String millis(Histogram histogram) {
        return String.format(
                "%.1f / %.1f",
                histogram.getValueAtPercentile(50) / NANOS_PER_MILLI,
                histogram.getValueAtPercentile(95) / NANOS_PER_MILLI);
    }

    /** The counts and times of one kind. */
    private static final class Kind {
        /** The calls by the way they ended. */
        private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

        /** The times to the first token. */
        private final Histogram firstToken = new Histogram(DIGITS);

        /** The times between tokens. */
        private final Histogram betweenTokens = new Histogram(DIGITS);

        /** The times to the final answer. */
        private final Histogram total = new Histogram(DIGITS);
    }
}
