package org.verbenatray.relay;

import org.verbenatray.time.Deadline;

/**
 * Timeouts for the response of a server.
 *
 * @param firstByteDeadline when the first bytes of the response are due
 * @param idleTimeoutMillis the longest pause between bytes after that, in milliseconds
 * @param responseDeadline when the complete response is due
 */
record ResponseTimeouts(Deadline firstByteDeadline, long idleTimeoutMillis, Deadline responseDeadline) {
    /** Returns whether the deadline of the complete response has passed. */
    boolean expired(long nowNanos) {
        return responseDeadline.hasPassed(nowNanos);
    }

    /** Returns timeouts that start now: the same silence is accepted before the first bytes and after them. */
    static ResponseTimeouts withSilence(long nowNanos, long silenceMillis, Deadline deadline) {
        return new ResponseTimeouts(Deadline.afterMillis(nowNanos, silenceMillis), silenceMillis, deadline);
    }

    /** Returns timeouts that consist of the given deadline only. */
    static ResponseTimeouts deadlineOnly(Deadline deadline) {
        return new ResponseTimeouts(deadline, Long.MAX_VALUE / 2_000_000, deadline);
    }

    /** Returns when the next bytes are due, given that some arrived at the given time. */
    Deadline nextByteDeadline(long nowNanos) {
        Deadline idle = Deadline.afterMillis(nowNanos, idleTimeoutMillis);
        return idle.atNanos() - responseDeadline.atNanos() < 0 ? idle : responseDeadline;
    }
}
