package org.verbenatray.openwork;

import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * The share of this instance in a quantity that all instances together may use once in any window.
 *
 * <p>The share is one divided by the number of listed instances. The shares of all instances add up to at most one in
 * each window, because a share is used only while the list is current, and because no two instances use shares of
 * different sizes within one window: after the number has grown, or the list was out of date, an instance has no share
 * until every other instance has read the same list or found that it is cut off, and a window more has passed; after it
 * has fallen, the smaller share stays for the same time. Used on one thread.
 */
public final class FleetShare {
    /** The age in milliseconds from which on a list is out of date; more than the longest wait of a read. */
    private static final long MAX_LIST_AGE_MILLIS = 12_000;

    /** The longest time in milliseconds for which a response to a read may be under way. */
    private static final long MAX_READ_MILLIS = 12_000;

    private final Ticker ticker;

    /** The number of instances to divide by; at least the current one, zero before the first list. */
    private int divisor;

    /** The number of instances in the latest list, zero if this instance is not in it. */
    private int listed;

    /** When the divisor was last found too small, or the list current again, in nanoseconds of the ticker. */
    private long unsettledNanos;

    /** When the number of listed instances last fell, in nanoseconds of the ticker. */
    private long fallenNanos;

    /** When the list is out of date, null before the first list. */
    private Deadline outOfDate;

    private FleetShare(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Creates the share of an instance that has read no list; it is zero. */
    public static FleetShare create(Ticker ticker) {
        return new FleetShare(ticker);
    }

    /** Records the number of listed instances, including this one; zero if this one is not listed. */
    void recordListed(int instances) {
        long now = ticker.nanos();
        if (instances > divisor || listed == 0) {
            divisor = Math.max(divisor, instances);
            unsettledNanos = now;
        }
        if (instances < listed) {
            fallenNanos = now;
        }
        listed = instances;
    }

    /** Records that all changes of the list were read. */
    void recordRead() {
        long now = ticker.nanos();
        if (outOfDate == null || outOfDate.hasPassed(now)) {
            unsettledNanos = now;
        }
        outOfDate = Deadline.afterMillis(now, MAX_LIST_AGE_MILLIS);
    }

    /** Returns the share from 0 to 1 for a window in milliseconds. */
    public double of(long windowMillis) {
        long now = ticker.nanos();
        if (listed == 0 || outOfDate == null || outOfDate.hasPassed(now) || !passed(unsettledNanos, windowMillis)) {
            return 0;
        }
        if (listed < divisor && passed(fallenNanos, windowMillis)) {
            divisor = listed;
        }
        return 1.0 / divisor;
    }

    /** Returns whether all instances know of a change at the given time, and a window more has passed. */
    private boolean passed(long changeNanos, long windowMillis) {
        return Deadline.afterMillis(changeNanos, MAX_READ_MILLIS + MAX_LIST_AGE_MILLIS + windowMillis)
                .hasPassed(ticker.nanos());
    }
}
