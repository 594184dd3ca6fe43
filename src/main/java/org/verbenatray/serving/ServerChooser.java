package org.verbenatray.serving;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.verbenatray.configuration.FleetConfiguration.ServerSpec;
import org.verbenatray.configuration.FleetConfiguration.ServiceSpec;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Chooses backend servers of plain services. Prefers servers that have not failed recently, then servers in the own
 * failure domain, and spreads calls round-robin over equal ones. Thread-safe.
 */
public final class ServerChooser {
    /** How long other servers are preferred to one that failed, in milliseconds. */
    private static final long AVOID_MILLIS = 3_000;

    private final String failureDomain;
    private final Ticker ticker;

    /** The times until which failed servers are avoided, by name. */
    private final Map<String, Deadline> avoidedUntil = new ConcurrentHashMap<>();

    /** The names of the servers that are shutting down. */
    private volatile Set<String> leavingServers = Set.of();

    /** Incremented with each call, for round-robin over equal servers. */
    private final AtomicInteger nextIndex = new AtomicInteger();

    private ServerChooser(String failureDomain, Ticker ticker) {
        this.failureDomain = failureDomain;
        this.ticker = ticker;
    }

    /** Returns a chooser for an instance in the given failure domain. */
    public static ServerChooser create(String failureDomain, Ticker ticker) {
        return new ServerChooser(failureDomain, ticker);
    }

    /** Returns the best server that is neither shutting down nor excluded. */
    Optional<ServerSpec> choose(ServiceSpec service, Set<String> excluded) {
        Set<String> currentlyLeaving = leavingServers;
        List<ServerSpec> available = service.servers().stream()
                .filter(server -> !excluded.contains(server.name()) && !currentlyLeaving.contains(server.name()))
                .toList();
        if (available.isEmpty()) {
            return Optional.empty();
        }
        int best = available.stream().mapToInt(this::penalty).min().orElse(0);
        List<ServerSpec> candidates =
                available.stream().filter(server -> penalty(server) == best).toList();
        return Optional.of(candidates.get(Math.floorMod(nextIndex.getAndIncrement(), candidates.size())));
    }

    /** Records a failed call; other servers are preferred for a time. */
    void recordFailure(ServerSpec server) {
        avoidedUntil.put(server.name(), Deadline.afterMillis(ticker.nanos(), AVOID_MILLIS));
    }

    /** Sets the names of the servers that are shutting down; they get no calls. */
    public void setLeavingServers(Set<String> names) {
        leavingServers = Set.copyOf(names);
    }

    /** Returns the penalty of a server; a lower one is preferred. */
    private int penalty(ServerSpec server) {
        Deadline until = avoidedUntil.get(server.name());
        int failed = until != null && !until.hasPassed(ticker.nanos()) ? 2 : 0;
        return failed + (server.failureDomain().equals(failureDomain) ? 0 : 1);
    }
}
