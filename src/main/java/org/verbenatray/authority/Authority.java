package org.verbenatray.authority;

import org.verbenatray.time.Deadline;

/**
 * Time-limited permission to send orders to the engines that one lease covers.
 *
 * @param lease the lease's name
 * @param fencing the fencing token: the log offset of the claim
 * @param deadline the time at which the permission expires unless the lease is renewed
 * @param formerHoldersSettled whether every former holder has released the lease or terminated; only then may engines
 *     that do not check fencing tokens receive orders
 */
public record Authority(String lease, long fencing, Deadline deadline, boolean formerHoldersSettled) {
    /** Returns whether the permission covers an engine, given whether that engine checks fencing tokens. */
    public boolean covers(boolean checksFencing) {
        return checksFencing || formerHoldersSettled;
    }
}
