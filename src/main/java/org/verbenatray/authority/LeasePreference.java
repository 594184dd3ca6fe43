package org.verbenatray.authority;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * Order of preference in which live instances claim a lease, computed by rendezvous hashing.
 *
 * <p>Each instance computes the same order without communication, and different leases prefer different instances.
 */
public final class LeasePreference {
    private LeasePreference() {}

    /** Returns the rank of an instance: the number of live instances that are preferred to it. */
    public static int rank(String lease, String instance, Collection<String> liveInstances) {
        long ownWeight = weight(lease, instance);
        long preferredCount = liveInstances.stream()
                .distinct()
                .filter(other -> !other.equals(instance))
                .filter(other -> weight(lease, other) > ownWeight)
                .count();
        return Math.toIntExact(preferredCount);
    }

    private static long weight(String lease, String instance) {
        return Hashing.sipHash24()
                .hashString(lease + '\n' + instance, StandardCharsets.UTF_8)
                .asLong();
    }
}
