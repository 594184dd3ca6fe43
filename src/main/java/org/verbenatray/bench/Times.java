package org.verbenatray.bench;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Measured times; thread-safe. */
final class Times {
    /** The precision in decimal digits. */
    private static final int DIGITS = 3;

    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The times in nanoseconds. */
    private final Histogram histogram = new ConcurrentHistogram(DIGITS);

    /** Creates empty times. */
    private Times() {}

    /** Returns empty times. */
    static Times create() {
        return new Times();
    }

    /** Adds a time in nanoseconds. */
    void add(long nanos) {
        histogram.recordValue(Math.max(0, nanos));
    }

    /** Returns the number of times. */
    long count() {
        return histogram.getTotalCount();
    }

    /** Returns the time at a percentile in milliseconds. */
    double millis(double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns the longest time in milliseconds. */
    double maxMillis() {
        return histogram.getMaxValue() / NANOS_PER_MILLI;
    }
}
