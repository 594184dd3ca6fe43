package org.verbenatray.bench;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Counts what becomes of the requests of an experiment. */
final class MixStatistics {
    /** Nanoseconds in one microsecond. */
    private static final long NANOS_PER_MICRO = 1_000;

    /** The largest time that is told apart, in microseconds. */
    private static final long MAX_MICROS = 600_000_000L;

    /** The counts by kind. */
    private final Map<RequestKind, KindCounts> kinds = new EnumMap<>(RequestKind.class);

    /** The number of role changes that were ordered. */
    private int changes;

    /** The time from the orders to the service in the new role. */
    private long lostNanos;

    /** The longest time from an arrival to a first token or the final refusal. */
    private long longestWaitNanos;

    /** Creates empty counts. */
    MixStatistics() {
        for (RequestKind kind : RequestKind.values()) {
            kinds.put(kind, new KindCounts());
        }
    }

    /** Counts an arrival. */
    void arrived(RequestKind kind) {
        kinds.get(kind).offered++;
    }

    /** Counts a request that was refused without being run. */
    void refused(RequestKind kind) {
        kinds.get(kind).refused++;
    }

    /** Counts a request that was given up at its deadline. */
    void late(Flight flight) {
        kinds.get(flight.arrival.kind()).late++;
        if (flight.tokens == 0) {
            waited(flight.arrival.deadlineNanos() - flight.arrival.atNanos());
        }
    }

    /** Counts a whole answer within its deadline. */
    void answered(Flight flight) {
        KindCounts counts = kinds.get(flight.arrival.kind());
        counts.good++;
        counts.goodTokens += flight.arrival.promptTokens() + flight.arrival.outputTokens();
    }

    /** Counts a token. */
    void token(Flight flight, long nowNanos) {
        KindCounts counts = kinds.get(flight.arrival.kind());
        if (flight.tokens == 0) {
            long wait = nowNanos - flight.arrival.atNanos();
            waited(wait);
            counts.firstToken.recordValue(micros(wait));
        } else {
            counts.betweenTokens.recordValue(micros(nowNanos - flight.lastTokenNanos));
        }
    }

    /** Counts an order to change a role. */
    void changeOrdered() {
        changes++;
    }

    /** Counts the time that a change took. */
    void changeFinished(long nanos) {
        lostNanos += nanos;
    }

    /** Adds the counts of another part of the fleet. */
    void add(MixStatistics other) {
        kinds.forEach((kind, counts) -> counts.add(other.kinds.get(kind)));
        changes += other.changes;
        lostNanos += other.lostNanos;
        waited(other.longestWaitNanos);
    }

    /** Returns the whole answers within their deadlines. */
    int good() {
        return kinds.values().stream().mapToInt(counts -> counts.good).sum();
    }

    /** Returns the counts of a kind. */
    KindCounts of(RequestKind kind) {
        return kinds.get(kind);
    }

    /** Returns the number of role changes. */
    int changes() {
        return changes;
    }

    /** Returns the engine time lost to role changes in seconds. */
    double lostSeconds() {
        return lostNanos / 1e9;
    }

    /** Returns the longest wait in milliseconds. */
    long longestWaitMillis() {
        return longestWaitNanos / 1_000_000;
    }

    /** Notes a wait. */
    private void waited(long nanos) {
        longestWaitNanos = Math.max(longestWaitNanos, nanos);
    }

    /** Returns a time in microseconds within the range of the histograms. */
    private static long micros(long nanos) {
        return Math.min(MAX_MICROS, nanos / NANOS_PER_MICRO);
    }

    /** The counts of one kind of requests. */
    static final class KindCounts {
        /** The requests that arrived. */
        int offered;

        /** The whole answers within their deadlines. */
        int good;

        /** The prompt and output tokens of those. */
        long goodTokens;

        /** The requests that were refused without being run. */
        int refused;

        /** The requests that were given up at their deadlines. */
        int late;

        /** The times to the first token in microseconds. */
        final Histogram firstToken = new Histogram(MAX_MICROS, 2);

        /** The times between tokens in microseconds. */
        final Histogram betweenTokens = new Histogram(MAX_MICROS, 2);

        /** Creates empty counts. */
        KindCounts() {}

        /** Adds other counts. */
        private void add(KindCounts other) {
            offered += other.offered;
            good += other.good;
            goodTokens += other.goodTokens;
            refused += other.refused;
            late += other.late;
            firstToken.add(other.firstToken);
            betweenTokens.add(other.betweenTokens);
        }
    }
}
