package org.verbenatray.authority;

import java.util.Optional;
import org.verbenatray.time.Deadline;

/**
 * What an instance remembers of one lease between two steps.
 *
 * @param seenOffset the offset of the lease's last accepted record that was read, empty when none was
 * @param seenAtNanos the time at which that record was read
 * @param attempt the append whose effect is not known yet
 * @param tenure the own holding, empty when another instance holds the lease or none
 * @param settlementRetry the time from which the next record about a former holder may be appended
 */
record LeaseMemory(
        Optional<Long> seenOffset,
        long seenAtNanos,
        Optional<Attempt> attempt,
        Optional<Tenure> tenure,
        Deadline settlementRetry) {

    /**
     * An append whose effect is not known yet.
     *
     * @param startedNanos the time at which the first append after the last record read was started
     * @param retry the time from which it may be tried again
     */
    record Attempt(long startedNanos, Deadline retry) {}

    /**
     * A holding of the lease by this instance.
     *
     * @param fencing the fencing number
     * @param renewal the time from which it is renewed
     * @param end the end of the authority unless it is renewed
     */
    record Tenure(long fencing, Deadline renewal, Deadline end) {}

    /** Returns the memory of an instance that has read nothing yet. */
    static LeaseMemory create(long nowNanos) {
        return new LeaseMemory(Optional.empty(), nowNanos, Optional.empty(), Optional.empty(), new Deadline(nowNanos));
    }

    /** Returns the memory after an append was started. */
    LeaseMemory started(LeaseAction action, LeaseTerms terms, long nowNanos) {
        Deadline retry = Deadline.afterMillis(nowNanos, terms.retryMillis());
        if (!action.changesHolding()) {
            return new LeaseMemory(seenOffset, seenAtNanos, attempt, tenure, retry);
        }
        long startedNanos = attempt.map(Attempt::startedNanos).orElse(nowNanos);
        Attempt next = new Attempt(startedNanos, retry);
        return new LeaseMemory(seenOffset, seenAtNanos, Optional.of(next), tenure, settlementRetry);
    }
}
