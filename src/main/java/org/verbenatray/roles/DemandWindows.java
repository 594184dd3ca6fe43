package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.verbenatray.roles.Demand.PriorityDemand;

/**
 * Counts arrived work in buckets of one second and sums it over sliding windows. Memory is bounded by the longest
 * window and by the maximum number of priorities. Not thread-safe; times must not decrease.
 */
public final class DemandWindows {
    private static final long BUCKET_NANOS = 1_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * Maximum number of priorities that are counted separately. Further ones count with the next lower priority, if
     * any.
     */
    private static final int MAX_PRIORITIES = 8;

    /** Values per bucket: requests, prompt tokens, output tokens, sum of patience in milliseconds. */
    private static final int VALUES_PER_BUCKET = 4;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Number of buckets in the ring, which covers the longest window. */
    private final int bucketCount;

    /** Ring of buckets by priority, lowest priority first, with one row of values per bucket. */
    private final TreeMap<Integer, double[][]> bucketsByPriority = new TreeMap<>();

    /** Time in nanoseconds at which bucket 0 begins. */
    private final long startNanos;

    /**
     * Number of the newest bucket since the start; its place in the ring is this number modulo {@link #bucketCount}.
     */
    private long newestBucket;

    private DemandWindows(long longestWindowMillis, long startNanos) {
        this.bucketCount = (int) (longestWindowMillis * NANOS_PER_MILLI / BUCKET_NANOS) + 1;
        this.startNanos = startNanos;
    }

    /**
     * Returns empty windows that begin at the given time and reach back for at most the given number of milliseconds.
     */
    public static DemandWindows create(long longestWindowMillis, long startNanos) {
        return new DemandWindows(longestWindowMillis, startNanos);
    }

    /**
     * Counts an arrived request.
     *
     * @param nowNanos the current time in nanoseconds
     * @param priority its priority
     * @param promptTokens its prompt tokens that are not expected in the prefix cache
     * @param outputTokens the expected output tokens
     * @param patienceMillis the time in milliseconds that it can queue and still meet its deadline
     */
    public void record(long nowNanos, int priority, long promptTokens, long outputTokens, long patienceMillis) {
        advanceTo(nowNanos);
        double[] bucket = bucketsOf(priority)[(int) (newestBucket % bucketCount)];
        bucket[0]++;
        bucket[1] += promptTokens;
        bucket[2] += outputTokens;
        bucket[3] += patienceMillis;
    }

    /**
     * Returns the demand per second over the window that ends now. A window that reaches back before the start is
     * shortened to the time since the start, but to no less than one second.
     */
    public Demand demand(long nowNanos, long windowMillis) {
        advanceTo(nowNanos);
        int length = (int) Math.min(bucketCount, Math.max(1, windowMillis * NANOS_PER_MILLI / BUCKET_NANOS));
        long oldest = Math.max(0, newestBucket - length + 1);
        double partial = (nowNanos - startNanos - newestBucket * BUCKET_NANOS) / (double) BUCKET_NANOS;
        double seconds = Math.max(1, newestBucket - oldest + partial);
        List<PriorityDemand> classes = new ArrayList<>();
        for (Map.Entry<Integer, double[][]> entry :
                bucketsByPriority.descendingMap().entrySet()) {
            double[] sum = new double[VALUES_PER_BUCKET];
            for (long bucket = oldest; bucket <= newestBucket; bucket++) {
                addTo(sum, entry.getValue()[(int) (bucket % bucketCount)]);
            }
            double patience = sum[0] == 0 ? 0 : sum[3] / sum[0] / MILLIS_PER_SECOND;
            classes.add(
                    new PriorityDemand(entry.getKey(), sum[0] / seconds, sum[1] / seconds, sum[2] / seconds, patience));
        }
        return new Demand(classes);
    }

    private static void addTo(double[] sum, double[] bucket) {
        for (int value = 0; value < VALUES_PER_BUCKET; value++) {
            sum[value] += bucket[value];
        }
    }

    /**
     * Returns the buckets of a priority. When there are too many priorities, returns those of the next lower one, or
     * of the lowest.
     */
    private double[][] bucketsOf(int priority) {
        double[][] rows = bucketsByPriority.get(priority);
        if (rows != null) {
            return rows;
        }
        if (bucketsByPriority.size() < MAX_PRIORITIES) {
            double[][] created = new double[bucketCount][VALUES_PER_BUCKET];
            bucketsByPriority.put(priority, created);
            return created;
        }
        Map.Entry<Integer, double[][]> lower = bucketsByPriority.floorEntry(priority);
        return lower != null ? lower.getValue() : bucketsByPriority.firstEntry().getValue();
    }

    /** Advances the ring to the given time and clears the buckets that it reuses. */
    private void advanceTo(long nowNanos) {
        long target = Math.max(newestBucket, (nowNanos - startNanos) / BUCKET_NANOS);
        long first = Math.max(newestBucket + 1, target - bucketCount + 1);
        for (long bucket = first; bucket <= target; bucket++) {
            for (double[][] rows : bucketsByPriority.values()) {
                rows[(int) (bucket % bucketCount)] = new double[VALUES_PER_BUCKET];
            }
        }
        newestBucket = target;
    }
}
