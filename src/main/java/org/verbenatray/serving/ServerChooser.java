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

/** Chooses backend servers of plain services: the own failure domain first, those that failed lately last. */
public final class ServerChooser {
    /** The time for which a server that failed is tried last, in milliseconds. */
    private static final long AVOID_MILLIS = 3_000;

    /** The failure domain of this instance. */
    private final String failureDomain;

    /** The clock. */
    private final Ticker ticker;

    /** Until when servers are tried last, by name. */
    private final Map<String, Deadline> avoided = new ConcurrentHashMap<>();

    /** The servers that are leaving. */
    private volatile Set<String> leaving = Set.of();

    /** Spreads the calls over equal servers. */
    private final AtomicInteger turn = new AtomicInteger();

    /** Creates a chooser. */
    private ServerChooser(String failureDomain, Ticker ticker) {
        this.failureDomain = failureDomain;
        this.ticker = ticker;
    }

    /** Returns a chooser of an instance in the given failure domain. */
    public static ServerChooser create(String failureDomain, Ticker ticker) {
        return new ServerChooser(failureDomain, ticker);
    }

    /** Returns the best server that is neither leaving nor barred. */
    Optional<ServerSpec> choose(ServiceSpec service, Set<String> barred) {
        Set<String> gone = leaving;
        List<ServerSpec> able = service.servers().stream()
                .filter(server -> !barred.contains(server.name()) && !gone.contains(server.name()))
                .toList();
        if (able.isEmpty()) {
            return Optional.empty();
        }
        int best = able.stream().mapToInt(this::penalty).min().orElse(0);
        List<ServerSpec> equal =
                able.stream().filter(server -> penalty(server) == best).toList();
        return Optional.of(equal.get(Math.floorMod(turn.getAndIncrement(), equal.size())));
    }

    /** Tries a server last for a while because a call of it failed. */
    void failed(ServerSpec server) {
        avoided.put(server.name(), Deadline.afterMillis(ticker.nanos(), AVOID_MILLIS));
    }

    /** Sets the servers that are leaving. */
    public void leaving(Set<String> names) {
        leaving = Set.copyOf(names);
    }

    /** Returns how late a server is tried. */
    private int penalty(ServerSpec server) {
        Deadline until = avoided.get(server.name());
        int failed = until != null && !until.passed(ticker.nanos()) ? 2 : 0;
        return failed + (server.failureDomain().equals(failureDomain) ? 0 : 1);
    }
}
