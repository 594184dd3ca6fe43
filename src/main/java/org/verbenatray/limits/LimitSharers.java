package org.verbenatray.limits;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * The instances that may send requests to one server while it states a limit, and share its rate.
 *
 * @param others the addresses of the others by name
 * @param self whether this instance is one of them
 * @param complete whether the list of instances was read; otherwise there may be others that are not known
 */
public record LimitSharers(Map<String, InetSocketAddress> others, boolean self, boolean complete) {
    /** Enough that some outlive a failure domain. */
    private static final int MIN_SHARERS = 6;

    /** Bounds the notices, since each sharer reports to all others what it sends. */
    private static final int MAX_SHARERS = 24;

    /** The sharers per request a second, so that the callers of the sharers can use the rate. */
    private static final int SHARERS_PER_RATE = 2;

    /** Returns how many instances share the given rate, if there are so many. */
    public static int wanted(double requestsPerSecond) {
        return (int) Math.max(MIN_SHARERS, Math.min(MAX_SHARERS, Math.ceil(SHARERS_PER_RATE * requestsPerSecond)));
    }

    /** Returns the number of instances that share the rate, this one included; as many as possible if unknown. */
    int count() {
        return complete ? others.size() + (self ? 1 : 0) : MAX_SHARERS;
    }
}
