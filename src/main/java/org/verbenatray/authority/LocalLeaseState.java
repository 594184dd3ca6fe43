package org.verbenatray.authority;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * The local state that an instance keeps about one lease from one step to the next.
 *
 * @param lastSeenOffset the offset of the lease's last accepted record that was read; empty if none was
 * @param lastSeenNanos the monotonic time at which that record was first seen, in nanoseconds
 * @param pendingAppend the append whose result is not known yet; empty if there is none
 * @param tenure the tenure of this instance; empty if it does not hold the lease
 * @param settlementRetryAt the time from which the next record about a former holder may be appended
 */
record LocalLeaseState(
        Optional<Long> lastSeenOffset,
        long lastSeenNanos,
        Optional<PendingAppend> pendingAppend,
        Optional<Tenure> tenure,
        Deadline settlementRetryAt) {

    /**
     * An append whose result is not known yet.
     *
     * @param startedNanos the monotonic time in nanoseconds at which the first append after the last record read began
     * @param retryAt the time from which it may be retried
     */
    record PendingAppend(long startedNanos, Deadline retryAt) {}

    /**
     * A period during which this instance holds the lease.
     *
     * @param fencing the fencing token
     * @param renewAt the time from which the lease is renewed
     * @param expiresAt the time at which the authority expires unless the lease is renewed
     */
    record Tenure(long fencing, Deadline renewAt, Deadline expiresAt) {}

    /** Returns the state of an instance that has read no record of the lease yet. */
    static LocalLeaseState create(long nowNanos) {
        return new LocalLeaseState(
                Optional.empty(), nowNanos, Optional.empty(), Optional.empty(), new Deadline(nowNanos));
    }

    /**
     * Returns the state after the append of an action was started.
     *
     * <p>A retry keeps the start time of the first append, since either of them may be the accepted one.
     */
    LocalLeaseState withAppendStarted(LeaseAction action, LeaseTiming timing, long nowNanos) {
        Deadline retryAt = Deadline.afterMillis(nowNanos, timing.retryDelayMillis());
        if (!action.changesTenure()) {
            return new LocalLeaseState(lastSeenOffset, lastSeenNanos, pendingAppend, tenure, retryAt);
        }
        long startedNanos = pendingAppend.map(PendingAppend::startedNanos).orElse(nowNanos);
        PendingAppend newAppend = new PendingAppend(startedNanos, retryAt);
        return new LocalLeaseState(lastSeenOffset, lastSeenNanos, Optional.of(newAppend), tenure, settlementRetryAt);
    }
}
