package org.verbenatray.state;

import java.util.Optional;
import java.util.function.Predicate;
import org.verbenatray.log.LogPage;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.StoredRecord;

/**
 * Finds the newest usable snapshot in the log. The log can only be read forward, so the search reads one window of
 * offsets after the other, starting with the last one, each window from its first offset on.
 *
 * <p>Not thread-safe: the caller reads the pages and provides the lock.
 */
final class SnapshotSearch {
    /** The size of a window, in offsets. */
    private static final long WINDOW_OFFSETS = 4_096;

    /** Returns whether this instance can restore a snapshot. */
    private final Predicate<Snapshot> usable;

    private long windowFrom;

    /** The first offset after the window. */
    private long windowTo;

    private long cursor;

    /** The newest usable snapshot in the window. */
    private Optional<Snapshot> found = Optional.empty();

    private SnapshotSearch(long end, Predicate<Snapshot> usable) {
        this.usable = usable;
        moveWindow(end);
    }

    /** Returns a search among the records before the given end offset of the log. */
    static SnapshotSearch backwardFrom(long end, Predicate<Snapshot> usable) {
        return new SnapshotSearch(end, usable);
    }

    /** Moves the window so that it ends before the given offset. */
    private void moveWindow(long to) {
        windowTo = to;
        windowFrom = Math.max(0, to - WINDOW_OFFSETS);
        cursor = windowFrom;
    }

    /** Returns the offset from which the next page must be read. */
    long cursor() {
        return cursor;
    }

    /** Processes the page that was read at the cursor and returns the next step. */
    Step processPage(LogPage page) {
        for (StoredRecord stored : page.records()) {
            if (stored.offset() < windowTo) {
                consider(stored, page.firstRetained());
                cursor = stored.offset() + 1;
            }
        }
        boolean windowDone = cursor >= windowTo || page.records().isEmpty() || windowTo <= page.firstRetained();
        if (!windowDone) {
            return Step.CONTINUE;
        }
        if (found.isPresent()) {
            return Step.FOUND;
        }
        if (windowFrom <= page.firstRetained()) {
            return Step.NOT_FOUND;
        }
        moveWindow(windowFrom);
        return Step.CONTINUE;
    }

    /** Keeps a usable snapshot if the log still retains all records after it. */
    private void consider(StoredRecord stored, long firstRetained) {
        if (stored.record().body() instanceof Snapshot snapshot
                && snapshot.upTo() >= firstRetained
                && snapshot.upTo() <= stored.offset()
                && usable.test(snapshot)) {
            found = Optional.of(snapshot);
        }
    }

    /** Returns the newest usable snapshot found so far in the window. */
    Optional<Snapshot> found() {
        return found;
    }

    /** The next step of a search. */
    enum Step {
        /** The caller must read another page at the cursor. */
        CONTINUE,
        /** The search is over and {@link #found()} returns the snapshot. */
        FOUND,
        /** The search is over; the log holds no usable snapshot. */
        NOT_FOUND
    }
}
