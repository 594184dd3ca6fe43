package org.verbenatray.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.verbenatray.backends.Backend;

/**
 * Chooses the server of a plain service with the lowest cost: its open requests of this instance plus penalties.
 *
 * <p>Penalties apply to servers of other failure domains and to servers that fail, are slow or are paused. They are in
 * open requests.
 */
public final class LeastLoadedChooser {
    /** The penalty for a server of another failure domain. */
    private static final double OTHER_DOMAIN_PENALTY = 0.75;

    /** The penalty for a failure rate of 1; lower rates count in proportion. */
    private static final double FAILURE_PENALTY = 12;

    /** The penalty for each second of recent delay. */
    private static final double DELAY_PENALTY_PER_SECOND = 12;

    /** The penalty for a paused server, high enough that any other server is preferred. */
    private static final double PAUSE_PENALTY = 1_000;

    private final String domain;

    /** Breaks ties; returns values from 0 to 1. */
    private final DoubleSupplier random;

    private LeastLoadedChooser(String domain, DoubleSupplier random) {
        this.domain = domain;
        this.random = random;
    }

    /** Creates a chooser for an instance in the given failure domain; the random values from 0 to 1 break ties. */
    public static LeastLoadedChooser create(String domain, DoubleSupplier random) {
        return new LeastLoadedChooser(domain, random);
    }

    /** Returns the server with the lowest cost among those that were not tried, or empty if there is none. */
    public Optional<Backend> choose(Collection<Backend> usable, Collection<Backend> tried, long nowNanos) {
        return leastCost(usable, backend -> !tried.contains(backend), nowNanos);
    }

    /** Returns the allowed server with the lowest cost, or empty if there is none. */
    Optional<Backend> leastCost(Collection<Backend> usable, Predicate<Backend> allowed, long nowNanos) {
        Backend best = null;
        double bestCost = Double.MAX_VALUE;
        for (Backend candidate : usable) {
            if (!allowed.test(candidate)) {
                continue;
            }
            double cost = cost(candidate, nowNanos);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the servers that are not paused, or all servers if all are paused. */
    static List<Backend> unpausedOrAll(List<Backend> usable, long nowNanos) {
        List<Backend> unpaused =
                usable.stream().filter(backend -> !backend.paused(nowNanos)).toList();
        return unpaused.isEmpty() ? usable : unpaused;
    }

    /** Returns the cost of a server, in open requests; a part below a half of it is random. */
    public double cost(Backend backend, long nowNanos) {
        return backend.openRequests() + penalty(backend, nowNanos);
    }

    /** Returns the sum of the penalties of a server, in open requests. */
    double penalty(Backend backend, long nowNanos) {
        double penalty = random.getAsDouble() / 2;
        penalty += backend.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN_PENALTY;
        penalty += FAILURE_PENALTY * backend.failureRate();
        penalty += DELAY_PENALTY_PER_SECOND * backend.delayMillis(nowNanos) / 1_000;
        return penalty + (backend.paused(nowNanos) ? PAUSE_PENALTY : 0);
    }
}
