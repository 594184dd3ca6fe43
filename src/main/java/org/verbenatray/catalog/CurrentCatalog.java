package org.verbenatray.catalog;

import java.util.Optional;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Holds the current catalog and never replaces it by an older version.
 *
 * <p>Thread-safe: readers never block.
 */
public final class CurrentCatalog {
    private final Ticker ticker;

    /** Null until the first catalog arrives. */
    private volatile Catalog current;

    /** The time at which the current catalog was set, in nanoseconds of the ticker. */
    private volatile long setNanos;

    /** Until when no newer version than the current one can have been in force for long; null before the first read. */
    private volatile Deadline confirmedUntil;

    private CurrentCatalog(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Creates a holder without a catalog. */
    public static CurrentCatalog empty(Ticker ticker) {
        return new CurrentCatalog(ticker);
    }

    /** Returns the current catalog, empty until the first one arrives. */
    public Optional<Catalog> get() {
        return Optional.ofNullable(current);
    }

    /** Returns the time since the current catalog was set, in milliseconds. */
    public long ageMillis() {
        return (ticker.nanos() - setNanos) / 1_000_000;
    }

    /** Records that no newer version was written, which holds until the given time. */
    public void confirmUntil(Deadline until) {
        confirmedUntil = until;
    }

    /** Returns whether the current catalog is known to be the newest, but for changes that are on their way. */
    public boolean confirmed() {
        return confirmedUntil != null && !confirmedUntil.hasPassed(ticker.nanos());
    }

    /** Makes the candidate the current catalog if its version is newer, and returns whether it did. */
    public synchronized boolean replaceIfNewer(Catalog candidate) {
        if (current != null && candidate.version() <= current.version()) {
            return false;
        }
        current = candidate;
        setNanos = ticker.nanos();
        return true;
    }
}
