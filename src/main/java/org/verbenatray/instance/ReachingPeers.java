package org.verbenatray.instance;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.relay.ForwardingTargets;
import org.verbenatray.time.Ticker;

/**
 * The instances that have lately reported answers of engines, so that they can serve requests that this instance
 * can't send to a server. Those of its failure domain go first. Used on one thread.
 */
final class ReachingPeers implements ForwardingTargets {
    /** The age in nanoseconds beyond which the answer of an engine no longer shows that an instance reaches servers. */
    private static final long MAX_AGE_NANOS = 1_500_000_000L;

    private final String domain;

    private final BooleanSupplier partitioned;

    /** Returns the list entry of the instance with the given name. */
    private final Function<String, Optional<ListedInstance>> listed;

    /** Spreads requests over equal instances; returns values from 0 to 1. */
    private final DoubleSupplier random;

    private final Ticker ticker;

    /** When an engine last answered each instance, as far as known, by the name of the instance. */
    private final Map<String, Long> answeredNanos = new HashMap<>();

    ReachingPeers(
            String domain,
            BooleanSupplier partitioned,
            Function<String, Optional<ListedInstance>> listed,
            DoubleSupplier random,
            Ticker ticker) {
        this.domain = domain;
        this.partitioned = partitioned;
        this.listed = listed;
        this.random = random;
        this.ticker = ticker;
    }

    /** Records that an engine answered an instance the given number of milliseconds ago. */
    void recordAnswer(String instance, long agoMillis) {
        answeredNanos.merge(instance, ticker.nanos() - agoMillis * 1_000_000, Math::max);
    }

    @Override
    public boolean isPartitioned() {
        return partitioned.getAsBoolean();
    }

    @Override
    public Optional<URI> choose(Collection<URI> tried) {
        long oldest = ticker.nanos() - MAX_AGE_NANOS;
        answeredNanos.values().removeIf(answered -> answered - oldest < 0);
        return answeredNanos.keySet().stream()
                .map(listed)
                .flatMap(Optional::stream)
                .filter(instance -> !tried.contains(addressOf(instance)))
                .map(instance ->
                        new Candidate(addressOf(instance), instance.domain().equals(domain), random.getAsDouble()))
                .min(Comparator.comparing(Candidate::sameDomain).reversed().thenComparing(Candidate::order))
                .map(Candidate::address);
    }

    /** Returns the address at which an instance takes forwarded requests: the port of its datagrams, over TCP. */
    private static URI addressOf(ListedInstance instance) {
        InetSocketAddress address = instance.address();
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
    }

    /**
     * An instance that may be chosen.
     *
     * @param address its address for forwarded requests
     * @param sameDomain whether it is of the failure domain of this instance
     * @param order a random number
     */
    private record Candidate(URI address, boolean sameDomain, double order) {}
}
