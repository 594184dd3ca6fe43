package org.verbenatray.instance;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.verbenatray.openwork.ExchangePeers;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.scheduling.SharedPlacement;

/** The fleet as the list of instances shows it to the placement of prompts. Used on one thread. */
final class PlacementFleet implements SharedPlacement.Fleet {
    /** The key from which all instances derive the schedulers of a domain. */
    private static final String KEY = "scheduler";

    private final RelayInstanceSettings settings;

    private final ExchangePeers peers;

    private final WorkSharing sharing;

    PlacementFleet(RelayInstanceSettings settings, ExchangePeers peers, WorkSharing sharing) {
        this.settings = settings;
        this.peers = peers;
        this.sharing = sharing;
    }

    @Override
    public String self() {
        return settings.name();
    }

    @Override
    public String domain() {
        return settings.failureDomain();
    }

    @Override
    public boolean isLarge() {
        return peers.sampleWeight() > 1;
    }

    @Override
    public List<String> schedulers(String domain, int count) {
        return peers.firstOfDomain(KEY, domain, count);
    }

    @Override
    public Set<String> otherDomains() {
        return peers.otherDomains();
    }

    @Override
    public Optional<InetSocketAddress> find(String instance) {
        return peers.find(instance).map(ListedInstance::address);
    }

    @Override
    public void send(InetSocketAddress to, byte[] datagram) {
        sharing.send(to, datagram);
    }
}
