package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The connections of an instance, of which at most one per peer is open. Used on the thread of the links only. */
final class LinkRegistry {
    /** The largest number of connections. */
    private static final int MAX_LINKS = 1_024;

    /** The settings, which name this instance. */
    private final PeerSettings settings;

    /** Every connection, also those whose peer has not said who it is. */
    private final Set<PeerLink> connections = new HashSet<>();

    /** The open link to each peer. */
    private final Map<String, PeerLink> open = new TreeMap<>();

    /** Creates a registry. */
    private LinkRegistry(PeerSettings settings) {
        this.settings = settings;
    }

    /** Returns an empty registry. */
    static LinkRegistry create(PeerSettings settings) {
        return new LinkRegistry(settings);
    }

    /** Adds a connection and returns whether there is room for it. */
    boolean add(PeerLink link) {
        return connections.size() < MAX_LINKS && connections.add(link);
    }

    /**
     * Takes a link as the open one of its peer and returns whether it is kept.
     *
     * <p>When two instances opened a link to each other, both keep the one that the instance whose name comes first
     * opened. Of two links that the same instance opened, the newer one is kept.
     */
    boolean open(PeerLink link) {
        PeerIdentity peer = link.peer().orElseThrow();
        if (peer.instance().equals(settings.self().instance())) {
            return false;
        }
        PeerLink before = open.get(peer.instance());
        if (before != null && !replaces(settings.self().instance(), peer.instance(), before.dialed(), link.dialed())) {
            return false;
        }
        open.put(peer.instance(), link);
        if (before != null) {
            before.close("duplicate");
        }
        shareBudget();
        return true;
    }

    /** Returns whether a new link replaces the open one; both ends come to the same answer. */
    static boolean replaces(String self, String peer, boolean openDialed, boolean newDialed) {
        boolean selfFirst = self.compareTo(peer) < 0;
        return openDialed == newDialed || newDialed == selfFirst;
    }

    /** Removes a connection and returns whether it was the open link of its peer. */
    boolean remove(PeerLink link) {
        connections.remove(link);
        boolean wasOpen =
                link.peer().map(peer -> open.remove(peer.instance(), link)).orElse(false);
        if (wasOpen) {
            shareBudget();
        }
        return wasOpen;
    }

    /** Returns the open link to an instance. */
    Optional<PeerLink> linkTo(String instance) {
        return Optional.ofNullable(open.get(instance));
    }

    /** Returns the open links. */
    Collection<PeerLink> openLinks() {
        return List.copyOf(open.values());
    }

    /** Returns the open links within the own failure domain, or those to the others. */
    List<PeerLink> openLinks(boolean ownDomain) {
        List<PeerLink> links = new ArrayList<>(open.values());
        links.removeIf(link -> settings.isOwnDomain(link.peer().orElseThrow()) != ownDomain);
        return links;
    }

    /** Returns every connection. */
    List<PeerLink> connections() {
        return List.copyOf(connections);
    }

    /** Divides the byte budgets among the open links. */
    private void shareBudget() {
        List<PeerLink> own = openLinks(true);
        List<PeerLink> others = openLinks(false);
        own.forEach(link -> link.changeControlRate((double) settings.ownDomainBytesPerSecond() / own.size()));
        others.forEach(link -> link.changeControlRate((double) settings.otherDomainsBytesPerSecond() / others.size()));
    }
}
