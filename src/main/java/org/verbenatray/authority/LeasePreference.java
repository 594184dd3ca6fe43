package org.verbenatray.authority;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** The order in which instances claim a lease, by rendezvous hashing. */
public final class LeasePreference {
    /** Prevents instances. */
    private LeasePreference() {}

    /** Returns how many of the live instances go before the given one. */
    public static int rank(String lease, String instance, Collection<String> liveInstances) {
        long ownWeight = weight(lease, instance);
        long before = liveInstances.stream()
                .distinct()
                .filter(other -> !other.equals(instance))
                .filter(other -> weight(lease, other) > ownWeight)
                .count();
        return Math.toIntExact(before);
    }

    /** Returns the weight of an instance for a lease. */
    private static long weight(String lease, String instance) {
        return Hashing.sipHash24()
                .hashString(lease + '\n' + instance, StandardCharsets.UTF_8)
                .asLong();
    }
}
