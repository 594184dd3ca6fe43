package org.verbenatray.once;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A time that all instances derive alike from the records: the lower median of the newest times of the recent authors.
 *
 * <p>It never goes back. One author with a fast clock moves it only when there is no other recent author.
 */
final class FoldClock {
    /** The largest number of authors that are looked at. */
    private static final int MAX_AUTHORS = 16;

    /** The number of offsets after which an author no longer counts. */
    private static final long AUTHOR_WINDOW_OFFSETS = 4_096;

    /** The authors in the order of their last records. */
    private final Map<String, Seen> authors = new LinkedHashMap<>();

    /** The time in milliseconds since the epoch. */
    private long nowMillis;

    /** Takes the time of one record. */
    void observe(String author, long offset, long atMillis) {
        authors.remove(author);
        authors.put(author, new Seen(author, offset, atMillis));
        authors.values().removeIf(seen -> seen.offset() <= offset - AUTHOR_WINDOW_OFFSETS);
        if (authors.size() > MAX_AUTHORS) {
            authors.remove(authors.keySet().iterator().next());
        }
        nowMillis = Math.max(nowMillis, lowerMedian());
    }

    /** Returns the lower median of the authors' times. */
    private long lowerMedian() {
        List<Long> times =
                authors.values().stream().map(Seen::atMillis).sorted().toList();
        return times.get((times.size() - 1) / 2);
    }

    /** Returns the time in milliseconds since the epoch, 0 before the first record. */
    long nowMillis() {
        return nowMillis;
    }

    /** Returns the state. */
    State exportState() {
        return new State(nowMillis, new ArrayList<>(authors.values()));
    }

    /** Replaces the state. */
    void importState(State state) {
        nowMillis = state.nowMillis();
        authors.clear();
        state.authors().stream()
                .sorted(Comparator.comparingLong(Seen::offset))
                .forEach(seen -> authors.put(seen.author(), seen));
    }

    /**
     * The last record of an author.
     *
     * @param author the author
     * @param offset the offset of its last record
     * @param atMillis the time that the record states
     */
    record Seen(String author, long offset, long atMillis) {}

    /**
     * The exported form.
     *
     * @param nowMillis the time
     * @param authors the authors in the order of their last records
     */
    record State(long nowMillis, List<Seen> authors) {}
}
