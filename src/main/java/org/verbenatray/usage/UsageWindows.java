package org.verbenatray.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The requests of this instance that servers have begun to run, by window and customer. Window k begins k times its
 * length after the start of 1970. Used on one thread.
 */
public final class UsageWindows {
    /** The number of windows that are kept. */
    private static final int MAX_WINDOWS = 16;

    private final long windowMillis;

    private final NavigableMap<Long, Map<String, Integer>> countsByWindow = new TreeMap<>();

    private UsageWindows(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /** Creates empty counts for windows of the given length in milliseconds. */
    public static UsageWindows create(long windowMillis) {
        return new UsageWindows(windowMillis);
    }

    /** Returns the window of a point in true time, in milliseconds since 1970. */
    public long windowAt(long unixMillis) {
        return Math.floorDiv(unixMillis, windowMillis);
    }

    /** Returns the end of a window in true time, in milliseconds since 1970. */
    public long endMillis(long window) {
        return (window + 1) * windowMillis;
    }

    /** Counts a request of a customer that began to run at the given true time, in milliseconds since 1970. */
    public void record(String customer, long unixMillis) {
        countsByWindow
                .computeIfAbsent(windowAt(unixMillis), window -> new HashMap<>())
                .merge(customer, 1, Integer::sum);
        while (countsByWindow.size() > MAX_WINDOWS) {
            countsByWindow.pollFirstEntry();
        }
    }

    /** Returns the counts of the windows from the given one on, without empty ones. */
    public NavigableMap<Long, Map<String, Integer>> since(long window) {
        NavigableMap<Long, Map<String, Integer>> counts = new TreeMap<>();
        countsByWindow.tailMap(window, true).forEach((key, value) -> counts.put(key, Map.copyOf(value)));
        return counts;
    }
}
