package org.verbenatray.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.verbenatray.backends.Backend;

/** Chooses the server of a plain service with the least open work, its own failure domain first. */
public final class PlainChooser {
    /** The open requests that a server of another failure domain must have fewer to be preferred. */
    private static final double OTHER_DOMAIN = 0.75;

    /** The open requests that a server that fails every answer is thought to have in addition. */
    private static final double FAILING = 12;

    /** The open requests that a second of recent delay counts for. */
    private static final double DELAYED_SECOND = 12;

    /** The open requests that a paused server is thought to have in addition: any other one goes first. */
    private static final double PAUSED = 1_000;

    /** The failure domain of this instance. */
    private final String domain;

    /** Breaks ties, from 0 to 1. */
    private final DoubleSupplier random;

    /** Creates a chooser. */
    private PlainChooser(String domain, DoubleSupplier random) {
        this.domain = domain;
        this.random = random;
    }

    /** Returns a chooser for an instance of a failure domain. */
    public static PlainChooser create(String domain, DoubleSupplier random) {
        return new PlainChooser(domain, random);
    }

    /** Returns the server to use among those that were not tried yet. */
    public Optional<Backend> choose(Collection<Backend> usable, Collection<Backend> tried, long nowNanos) {
        return least(usable, backend -> !tried.contains(backend), nowNanos);
    }

    /** Returns the allowed server with the lowest cost. */
    Optional<Backend> least(Collection<Backend> usable, Predicate<Backend> allowed, long nowNanos) {
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

    /** Returns the servers that are not paused, or all where every one is. */
    static List<Backend> awake(List<Backend> usable, long nowNanos) {
        List<Backend> awake =
                usable.stream().filter(backend -> !backend.paused(nowNanos)).toList();
        return awake.isEmpty() ? usable : awake;
    }

    /** Returns the cost of a server in open requests. */
    private double cost(Backend backend, long nowNanos) {
        return backend.open() + preference(backend, nowNanos);
    }

    /** Returns what else counts for or against a server, in open requests. */
    double preference(Backend backend, long nowNanos) {
        double cost = random.getAsDouble() / 2;
        cost += backend.entry().domain().equals(domain) ? 0 : OTHER_DOMAIN;
        cost += FAILING * backend.failureShare();
        cost += DELAYED_SECOND * backend.delayMillis(nowNanos) / 1_000;
        return cost + (backend.paused(nowNanos) ? PAUSED : 0);
    }
}
