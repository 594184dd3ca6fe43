package org.verbenatray.relay;

import org.verbenatray.catalog.CallerLimits;

/** For how long a caller may take over the head of a request, and for how long it may be idle. Used on one thread. */
final class CallerPatience {
    /** The limits before a configuration is known. */
    private static final CallerLimits INITIAL = new CallerLimits(0, 0, 10_000, 60_000);

    /** The time in milliseconds added to each limit, for the way of the caller's bytes. */
    private static final long MARGIN_MILLIS = 1_000;

    private LargestRecentLimit head = LargestRecentLimit.startingAt(INITIAL.headerTimeoutMillis());

    private LargestRecentLimit idle = LargestRecentLimit.startingAt(INITIAL.idleTimeoutMillis());

    /** Whether a configuration is known. */
    private boolean known;

    private CallerPatience() {}

    /** Creates the limits that hold before a configuration is known. */
    static CallerPatience create() {
        return new CallerPatience();
    }

    /** Applies the limits of a newer configuration. No caller goes by those that hold before the first. */
    void apply(CallerLimits limits, long nowNanos) {
        if (!known) {
            known = true;
            head = LargestRecentLimit.startingAt(limits.headerTimeoutMillis());
            idle = LargestRecentLimit.startingAt(limits.idleTimeoutMillis());
            return;
        }
        head.replace(limits.headerTimeoutMillis(), nowNanos);
        idle.replace(limits.idleTimeoutMillis(), nowNanos);
    }

    /** Returns the time in milliseconds within which a head that began at the given time has to be whole. */
    long headMillis(long startNanos) {
        return head.forWaitSince(startNanos) + MARGIN_MILLIS;
    }

    /** Returns the time in milliseconds for which a caller may send nothing from the given time on. */
    long idleMillis(long startNanos) {
        return idle.forWaitSince(startNanos) + MARGIN_MILLIS;
    }
}
