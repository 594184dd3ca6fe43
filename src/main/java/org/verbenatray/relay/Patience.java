package org.verbenatray.relay;

import org.verbenatray.time.Deadline;

/**
 * How long a server may be silent.
 *
 * @param first when the first bytes of the answer must have come
 * @param gapMillis the longest silence after that in milliseconds
 * @param last when the whole answer must have come
 */
record Patience(Deadline first, long gapMillis, Deadline last) {
    /** Returns whether nothing may come any more. */
    boolean over(long nowNanos) {
        return last.passed(nowNanos);
    }

    /** Returns the patience of a request that waits as long as its caller does. */
    static Patience until(Deadline deadline) {
        return new Patience(deadline, Long.MAX_VALUE / 2_000_000, deadline);
    }

    /** Returns when the next bytes must come after some came at the given time. */
    Deadline after(long nowNanos) {
        Deadline gap = Deadline.afterMillis(nowNanos, gapMillis);
        return gap.atNanos() - last.atNanos() < 0 ? gap : last;
    }
}
