package org.verbenatray.authority;

import java.util.Optional;
import java.util.SortedMap;

/**
 * The state of one lease as the log tells it.
 *
 * @param holder the instance that claimed it last, empty when it was released
 * @param fencing the fencing number of the last claim, which is the offset of its record
 * @param termMillis the length of one term in milliseconds
 * @param lastOffset the offset of the last accepted claim, renewal or release, which the next one has to follow
 * @param unreleased the fencing numbers of former holders that neither released nor were seen gone, by instance
 */
public record LeaseState(
        Optional<String> holder, long fencing, long termMillis, long lastOffset, SortedMap<String, Long> unreleased) {
    /** Returns whether the given instance holds the lease under the given fencing number. */
    public boolean isHeldBy(String instance, long number) {
        return fencing == number && holder.isPresent() && holder.get().equals(instance);
    }
}
