package org.verbenatray.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/** The connections to peers, of which at most one per peer is open. Used on the link thread only. */
final class LinkRegistry {
    private static final int MAX_CONNECTIONS = 1_024;

    private final PeerSettings settings;

    /** All connections, including those whose peer has not sent its hello. */
    private final Set<PeerLink> connections = new HashSet<>();

    /** The open link by name of the peer. */
    private final Map<String, PeerLink> openByPeer = new TreeMap<>();

    private LinkRegistry(PeerSettings settings) {
        this.settings = settings;
    }

    /** Returns an empty registry. */
    static LinkRegistry create(PeerSettings settings) {
        return new LinkRegistry(settings);
    }

    /** Adds a connection unless the limit of connections is reached, and returns whether it was added. */
    boolean add(PeerLink link) {
        return connections.size() < MAX_CONNECTIONS && connections.add(link);
    }

    /**
     * Registers a link as the open one of its peer and returns whether it is kept; a link that it replaces is closed.
     *
     * <p>If two instances dialed each other, both keep the link that the instance whose name sorts first dialed. Of two
     * links that the same instance dialed, the newer one is kept.
     */
    boolean registerOpen(PeerLink link) {
        PeerIdentity peer = link.peer().orElseThrow();
        if (peer.instance().equals(settings.self().instance())) {
            return false;
        }
        PeerLink before = openByPeer.get(peer.instance());
        if (before != null
                && !newLinkReplacesOpen(
                        settings.self().instance(), peer.instance(), before.outgoing(), link.outgoing())) {
            return false;
        }
        openByPeer.put(peer.instance(), link);
        if (before != null) {
            before.close("duplicate");
        }
        divideBudgets();
        return true;
    }

    /**
     * Returns whether a new link replaces the open one. Both ends reach the same decision.
     *
     * @param openDialed whether this instance dialed the open link
     * @param newDialed whether this instance dialed the new link
     */
    static boolean newLinkReplacesOpen(String self, String peer, boolean openDialed, boolean newDialed) {
        boolean selfFirst = self.compareTo(peer) < 0;
        return openDialed == newDialed || newDialed == selfFirst;
    }

    /** Removes a connection and returns whether it was the open link of its peer. */
    boolean remove(PeerLink link) {
        connections.remove(link);
        boolean wasOpen = link.peer()
                .map(peer -> openByPeer.remove(peer.instance(), link))
                .orElse(false);
        if (wasOpen) {
            divideBudgets();
        }
        return wasOpen;
    }

    /** Returns the open link to an instance. */
    Optional<PeerLink> linkTo(String instance) {
        return Optional.ofNullable(openByPeer.get(instance));
    }

    /** Returns the open links. */
    Collection<PeerLink> openLinks() {
        return List.copyOf(openByPeer.values());
    }

    /** Returns the open links within this failure domain (true) or to the other ones (false). */
    List<PeerLink> openLinks(boolean ownDomain) {
        List<PeerLink> links = new ArrayList<>(openByPeer.values());
        links.removeIf(link -> settings.isOwnDomain(link.peer().orElseThrow()) != ownDomain);
        return links;
    }

    /** Returns all connections. */
    List<PeerLink> connections() {
        return List.copyOf(connections);
    }

    /** Divides the byte budgets evenly among the open links. */
    private void divideBudgets() {
        List<PeerLink> own = openLinks(true);
        List<PeerLink> others = openLinks(false);
        own.forEach(link -> link.changeControlRate((double) settings.ownDomainBytesPerSecond() / own.size()));
        others.forEach(link -> link.changeControlRate((double) settings.otherDomainsBytesPerSecond() / others.size()));
    }
}
