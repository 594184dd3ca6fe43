package org.verbenatray.authority;

import org.verbenatray.time.Deadline;

/**
 * The time in which the holder of a lease may act. It is kept on the monotonic clock and on the wall clock, since the
 * monotonic clock stands still while a machine is suspended.
 *
 * @param from when it begins, on the monotonic clock
 * @param until when it ends, on the monotonic clock
 * @param untilWallMillis when it ends, on the wall clock in milliseconds
 */
record HolderTerm(Deadline from, Deadline until, long untilWallMillis) {
    /** The term of a process that never held the lease. */
    static final HolderTerm NONE = new HolderTerm(new Deadline(0), new Deadline(0), 0);

    /** Returns a term that begins at the given time. */
    HolderTerm startingAt(Deadline begin) {
        return new HolderTerm(begin, until, untilWallMillis);
    }

    /** Returns this term with an end that counts from the beginning of an append. */
    HolderTerm extended(LeaseAppend append, long activeMillis) {
        return new HolderTerm(
                from, Deadline.afterMillis(append.nanos(), activeMillis), append.wallMillis() + activeMillis);
    }

    /** Returns whether the term has not ended. */
    boolean lasts(long nanos, long wallMillis) {
        return !until.hasPassed(nanos) && wallMillis < untilWallMillis;
    }
}
