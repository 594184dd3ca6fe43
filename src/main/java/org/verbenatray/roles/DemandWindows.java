package org.verbenatray.roles;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.verbenatray.roles.Demand.PriorityDemand;

/**
 * Counts arrived work in buckets of one second for windows up to a longest one. Its memory is bounded by the longest
 * window and by the number of priorities that it tells apart. Not thread-safe; times must not decrease.
 */
public final class DemandWindows {
    /** Nanoseconds per bucket. */
    private static final long BUCKET_NANOS = 1_000_000_000L;

    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The largest number of priorities that are told apart. */
    private static final int MAX_PRIORITIES = 8;

    /** The values per bucket: answers, prompt tokens, output tokens, milliseconds of patience. */
    private static final int VALUES = 4;

    /** Milliseconds in one second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The number of buckets. */
    private final int buckets;

    /** The counts by priority, the lowest first, one row of values per bucket. */
    private final TreeMap<Integer, double[][]> counts = new TreeMap<>();

    /** When the first window began. */
    private final long startNanos;

    /** The number of the newest bucket. */
    private long newest;

    /** Creates empty windows. */
    private DemandWindows(long longestWindowMillis, long startNanos) {
        this.buckets = (int) (longestWindowMillis * NANOS_PER_MILLI / BUCKET_NANOS) + 1;
        this.startNanos = startNanos;
    }

    /** Returns empty windows that begin at the given time. */
    public static DemandWindows create(long longestWindowMillis, long startNanos) {
        return new DemandWindows(longestWindowMillis, startNanos);
    }

    /**
     * Counts a request that arrived.
     *
     * @param nowNanos the present time
     * @param priority its priority
     * @param promptTokens its prompt tokens that are not expected in a cache
     * @param outputTokens the tokens that it is expected to generate
     * @param patienceMillis the time that it can wait and still meet its deadline in milliseconds
     */
    public void record(long nowNanos, int priority, long promptTokens, long outputTokens, long patienceMillis) {
        moveTo(nowNanos);
        double[] bucket = rowsOf(priority)[(int) (newest % buckets)];
        bucket[0]++;
        bucket[1] += promptTokens;
        bucket[2] += outputTokens;
        bucket[3] += patienceMillis;
    }

    /** Returns the demand per second over the window that ends now; a window that began later counts its length. */
    public Demand demand(long nowNanos, long windowMillis) {
        moveTo(nowNanos);
        int length = (int) Math.min(buckets, Math.max(1, windowMillis * NANOS_PER_MILLI / BUCKET_NANOS));
        long oldest = Math.max(0, newest - length + 1);
        double partial = (nowNanos - startNanos - newest * BUCKET_NANOS) / (double) BUCKET_NANOS;
        double seconds = Math.max(1, newest - oldest + partial);
        List<PriorityDemand> classes = new ArrayList<>();
        for (Map.Entry<Integer, double[][]> entry : counts.descendingMap().entrySet()) {
            double[] sum = new double[VALUES];
            for (long bucket = oldest; bucket <= newest; bucket++) {
                addTo(sum, entry.getValue()[(int) (bucket % buckets)]);
            }
            double patience = sum[0] == 0 ? 0 : sum[3] / sum[0] / MILLIS_PER_SECOND;
            classes.add(
                    new PriorityDemand(entry.getKey(), sum[0] / seconds, sum[1] / seconds, sum[2] / seconds, patience));
        }
        return new Demand(classes);
    }

    /** Adds a bucket to a sum. */
    private static void addTo(double[] sum, double[] bucket) {
        for (int value = 0; value < VALUES; value++) {
            sum[value] += bucket[value];
        }
    }

    /** Returns the buckets of a priority, or those of its neighbour when there are too many priorities. */
    private double[][] rowsOf(int priority) {
        double[][] rows = counts.get(priority);
        if (rows != null) {
            return rows;
        }
        if (counts.size() < MAX_PRIORITIES) {
            double[][] created = new double[buckets][VALUES];
            counts.put(priority, created);
            return created;
        }
        Map.Entry<Integer, double[][]> lower = counts.floorEntry(priority);
        return lower != null ? lower.getValue() : counts.firstEntry().getValue();
    }

    /** Clears the buckets that are reused up to the given time. */
    private void moveTo(long nowNanos) {
        long target = Math.max(newest, (nowNanos - startNanos) / BUCKET_NANOS);
        long first = Math.max(newest + 1, target - buckets + 1);
        for (long bucket = first; bucket <= target; bucket++) {
            for (double[][] rows : counts.values()) {
                rows[(int) (bucket % buckets)] = new double[VALUES];
            }
        }
        newest = target;
    }
}
