package org.verbenatray.once;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A clock that every instance derives identically from the log: the lower median of the latest record times of the
 * recent authors.
 *
 * <p>It never goes back. An author whose clock is fast moves it only when there is no other recent author. Not
 * thread-safe.
 */
final class LogClock {
    private static final int MAX_RECENT_AUTHORS = 16;

    /** Number of log offsets after which an author without a new record no longer counts. */
    private static final long AUTHOR_WINDOW_OFFSETS = 4_096;

    /** Latest times by author, in the order of the authors' last records. */
    private final Map<String, AuthorTime> authors = new LinkedHashMap<>();

    /** Current time in milliseconds since the epoch. */
    private long nowMillis;

    /** Updates the clock with the time of one record. */
    void observe(String author, long offset, long atMillis) {
        authors.remove(author);
        authors.put(author, new AuthorTime(author, offset, atMillis));
        authors.values().removeIf(latest -> latest.offset() <= offset - AUTHOR_WINDOW_OFFSETS);
        if (authors.size() > MAX_RECENT_AUTHORS) {
            authors.remove(authors.keySet().iterator().next());
        }
        nowMillis = Math.max(nowMillis, lowerMedian());
    }

    private long lowerMedian() {
        List<Long> times =
                authors.values().stream().map(AuthorTime::atMillis).sorted().toList();
        return times.get((times.size() - 1) / 2);
    }

    /** Returns the current time in milliseconds since the epoch, or 0 before the first record. */
    long nowMillis() {
        return nowMillis;
    }

    /** Returns the state for a snapshot. */
    State exportState() {
        return new State(nowMillis, new ArrayList<>(authors.values()));
    }

    /** Replaces the state with that of a snapshot. */
    void importState(State state) {
        nowMillis = state.nowMillis();
        authors.clear();
        state.authors().stream()
                .sorted(Comparator.comparingLong(AuthorTime::offset))
                .forEach(latest -> authors.put(latest.author(), latest));
    }

    /**
     * The time of the last record of an author.
     *
     * @param author the name of the author
     * @param offset the log offset of its last record
     * @param atMillis the time stated in the record, in milliseconds since the epoch
     */
    record AuthorTime(String author, long offset, long atMillis) {}

    /**
     * The exported state of the clock.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @param authors the authors in the order of their last records
     */
    record State(long nowMillis, List<AuthorTime> authors) {}
}
