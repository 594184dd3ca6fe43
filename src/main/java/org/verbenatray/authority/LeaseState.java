package org.verbenatray.authority;

import java.util.Optional;
import java.util.SortedMap;

/**
 * The state of one lease according to the log.
 *
 * @param holder the instance that claimed the lease last; empty if it was released
 * @param fencing the fencing token of the last claim: the log offset of its record
 * @param termMillis the length of one term in milliseconds
 * @param lastOffset the offset of the last accepted claim, renewal or release, which the next one must follow
 * @param unreleased the fencing tokens, by instance, of former holders that neither released the lease nor were
 *     reported as terminated
 */
public record LeaseState(
        Optional<String> holder, long fencing, long termMillis, long lastOffset, SortedMap<String, Long> unreleased) {
    /** Returns whether the given instance holds the lease with the given fencing token. */
    public boolean isHeldBy(String instance, long fencingToken) {
        return fencing == fencingToken && holder.isPresent() && holder.get().equals(instance);
    }
}
