package org.verbenatray.state;

import java.util.Optional;
import java.util.function.Predicate;
import org.verbenatray.log.LogPage;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.StoredRecord;

/** Finds the newest usable snapshot in the log by reading windows of offsets from the end backwards. */
final class SnapshotSearch {
    /** The offsets read forward before the search steps back. */
    private static final long WINDOW_OFFSETS = 4_096;

    /** Whether a snapshot can be taken over by this instance. */
    private final Predicate<Snapshot> usable;

    /** The first offset of the window. */
    private long windowFrom;

    /** The offset after the window. */
    private long windowTo;

    /** The next offset to be read. */
    private long cursor;

    /** The newest usable snapshot of the window. */
    private Optional<Snapshot> found = Optional.empty();

    /** Creates a search that starts at the end of the log. */
    private SnapshotSearch(long end, Predicate<Snapshot> usable) {
        this.usable = usable;
        moveWindow(end);
    }

    /** Returns a search below the given end of the log. */
    static SnapshotSearch below(long end, Predicate<Snapshot> usable) {
        return new SnapshotSearch(end, usable);
    }

    /** Places the window before the given offset. */
    private void moveWindow(long to) {
        windowTo = to;
        windowFrom = Math.max(0, to - WINDOW_OFFSETS);
        cursor = windowFrom;
    }

    /** Returns the offset to read from next. */
    long cursor() {
        return cursor;
    }

    /** Takes the page read at the cursor and returns how the search goes on. */
    Step take(LogPage page) {
        for (StoredRecord stored : page.records()) {
            if (stored.offset() < windowTo) {
                consider(stored, page.firstRetained());
                cursor = stored.offset() + 1;
            }
        }
        boolean windowDone = cursor >= windowTo || page.records().isEmpty() || windowTo <= page.firstRetained();
        if (!windowDone) {
            return Step.READ_ON;
        }
        if (found.isPresent()) {
            return Step.FOUND;
        }
        if (windowFrom <= page.firstRetained()) {
            return Step.NOTHING_LEFT;
        }
        moveWindow(windowFrom);
        return Step.READ_ON;
    }

    /** Keeps a snapshot whose tail is still retained. */
    private void consider(StoredRecord stored, long firstRetained) {
        if (stored.record().body() instanceof Snapshot snapshot
                && snapshot.upTo() >= firstRetained
                && snapshot.upTo() <= stored.offset()
                && usable.test(snapshot)) {
            found = Optional.of(snapshot);
        }
    }

    /** Returns the snapshot that was found. */
    Optional<Snapshot> found() {
        return found;
    }

    /** How a search goes on. */
    enum Step {
        /** Read the next page at the cursor. */
        READ_ON,
        /** A usable snapshot was found. */
        FOUND,
        /** The log holds no usable snapshot. */
        NOTHING_LEFT
    }
}
