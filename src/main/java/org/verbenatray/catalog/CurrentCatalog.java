package org.verbenatray.catalog;

import java.util.Optional;
import org.verbenatray.time.Ticker;

/** Holds the version in force, which is never replaced by an older one. */
public final class CurrentCatalog {
    /** The clock. */
    private final Ticker ticker;

    /** The version in force, null before the first. */
    private volatile Catalog current;

    /** When the version in force was taken, in nanoseconds of the ticker. */
    private volatile long takenNanos;

    /** Creates a holder without a version. */
    private CurrentCatalog(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns a holder without a version. */
    public static CurrentCatalog empty(Ticker ticker) {
        return new CurrentCatalog(ticker);
    }

    /** Returns the version in force. */
    public Optional<Catalog> get() {
        return Optional.ofNullable(current);
    }

    /** Returns how long ago the version in force was taken, in milliseconds. */
    public long ageMillis() {
        return (ticker.nanos() - takenNanos) / 1_000_000;
    }

    /** Puts a version in force and returns true, unless it isn't newer than the one in force. */
    public synchronized boolean offer(Catalog candidate) {
        if (current != null && candidate.version() <= current.version()) {
            return false;
        }
        current = candidate;
        takenNanos = ticker.nanos();
        return true;
    }
}
