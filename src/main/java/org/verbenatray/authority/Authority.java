package org.verbenatray.authority;

import org.verbenatray.time.Deadline;

/**
 * The right to order the engines of one lease.
 *
 * @param lease the lease's name
 * @param fencing the fencing number, which is the offset of the claim
 * @param deadline the end of the right unless it is renewed
 * @param formerHoldersSettled whether every former holder released the lease or is gone, so that engines that do not
 *     check fencing numbers may be ordered too
 */
public record Authority(String lease, long fencing, Deadline deadline, boolean formerHoldersSettled) {
    /** Returns whether the right covers an engine that does or does not check fencing numbers. */
    public boolean covers(boolean checksFencing) {
        return checksFencing || formerHoldersSettled;
    }
}
