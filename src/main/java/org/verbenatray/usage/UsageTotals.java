package org.verbenatray.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SortedMap;
import java.util.TreeMap;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The counts that instances have told, added up by window. The last counts of an instance that has ended are kept. Used
 * on one thread.
 */
public final class UsageTotals {
    /** The number of windows that are kept. */
    private static final int MAX_WINDOWS = 16;

    /** The time without a notice after which an instance is not waited for, in milliseconds. */
    private static final long SILENCE_MILLIS = 3_000;

    private final Ticker ticker;

    /** What each start of an instance has told, by its name and the number of the start. */
    private final Map<String, Reporter> reporters = new HashMap<>();

    /** The counts by window, then by reporter and customer. */
    private final NavigableMap<Long, Map<String, Map<String, Integer>>> windows = new TreeMap<>();

    private UsageTotals(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Creates totals without counts. */
    public static UsageTotals create(Ticker ticker) {
        return new UsageTotals(ticker);
    }

    /** Applies a notice, unless a later one of the same start of the instance was applied. */
    public void apply(UsageNotice notice) {
        String name = notice.instance() + "@" + notice.incarnation();
        Reporter known = reporters.get(name);
        if (known != null && known.untilMillis() > notice.untilMillis()) {
            return;
        }
        Deadline silentFrom = Deadline.afterMillis(ticker.nanos(), SILENCE_MILLIS);
        reporters.put(name, new Reporter(notice.untilMillis(), silentFrom));
        notice.countsByWindow()
                .forEach((window, counts) ->
                        windows.computeIfAbsent(window, key -> new HashMap<>()).put(name, counts));
        while (windows.size() > MAX_WINDOWS) {
            windows.pollFirstEntry();
        }
        reporters.keySet().removeIf(this::isForgotten);
    }

    /** Returns whether a start of an instance has ended and has no counts in the windows that are kept. */
    private boolean isForgotten(String name) {
        return reporters.get(name).silentFrom().hasPassed(ticker.nanos())
                && windows.values().stream().noneMatch(counts -> counts.containsKey(name));
    }

    /** Returns the first window with counts, or the given one if there is none before it. */
    public long firstWindow(long otherwise) {
        return windows.isEmpty() ? otherwise : Math.min(otherwise, windows.firstKey());
    }

    /** Returns the sum of a window by customer, in the order of their names. */
    public SortedMap<String, Integer> sum(long window) {
        SortedMap<String, Integer> sum = new TreeMap<>();
        windows.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((customer, count) -> sum.merge(customer, count, Integer::sum)));
        return sum;
    }

    /**
     * Returns whether all instances that are heard of have told their counts up to the given true time, in milliseconds
     * since 1970.
     */
    public boolean completeUntil(long unixMillis) {
        long now = ticker.nanos();
        return reporters.values().stream()
                .allMatch(reporter -> reporter.untilMillis() >= unixMillis
                        || reporter.silentFrom().hasPassed(now));
    }

    /**
     * One start of an instance.
     *
     * @param untilMillis the true time up to which its counts are complete, in milliseconds since 1970
     * @param silentFrom from when on it counts as ended unless it sends another notice
     */
    private record Reporter(long untilMillis, Deadline silentFrom) {}
}
