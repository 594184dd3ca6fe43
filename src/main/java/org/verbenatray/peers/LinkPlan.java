package org.verbenatray.peers;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Plan of the links between instances, a pure function of the instance list.
 *
 * <p>In a small failure domain every instance links to every other one (full mesh). In a larger one each instance links
 * to its successor in the order of names, which keeps the domain connected, and to the peers that rendezvous hashing
 * ranks first for it. It links to a fixed number of instances of each other failure domain. The number of links of an
 * instance thus depends on the number of failure domains and not on the number of instances.
 */
public final class LinkPlan {
    /** The largest number of peers in a failure domain whose instances form a full mesh. */
    static final int MAX_FULL_MESH_PEERS = 8;

    /** The peers by rendezvous hashing that an instance of a larger failure domain links to besides its successor. */
    static final int RANKED_PEERS_IN_DOMAIN = 4;

    /** The peers in each other failure domain that an instance links to. */
    static final int RANKED_PEERS_PER_OTHER_DOMAIN = 2;

    /** The instances by failure domain and name. */
    private final SortedMap<String, SortedMap<String, PeerAddress>> byDomain = new TreeMap<>();

    private LinkPlan(Collection<PeerAddress> instances) {
        for (PeerAddress instance : instances) {
            byDomain.computeIfAbsent(instance.failureDomain(), domain -> new TreeMap<>())
                    .put(instance.instance(), instance);
        }
    }

    /** Returns the plan for an instance list. */
    public static LinkPlan of(Collection<PeerAddress> instances) {
        return new LinkPlan(instances);
    }

    /**
     * Returns the links that an instance dials.
     *
     * <p>If two instances chose each other, only the one whose name sorts first dials.
     */
    public PlannedLinks linksOf(PeerIdentity self) {
        List<PeerAddress> opened = new ArrayList<>();
        for (PeerAddress peer : peersChosenBy(self)) {
            boolean peerOpens = peer.instance().compareTo(self.instance()) < 0
                    && chooses(new PeerIdentity(peer.instance(), peer.failureDomain()), self);
            if (!peerOpens) {
                opened.add(peer);
            }
        }
        return new PlannedLinks(List.copyOf(opened), isFullMesh(self));
    }

    private List<PeerAddress> peersChosenBy(PeerIdentity self) {
        List<PeerAddress> chosen = new ArrayList<>();
        byDomain.forEach((domain, members) -> chosen.addAll(
                domain.equals(self.failureDomain())
                        ? chosenInDomain(self, members)
                        : ranked(self, members, RANKED_PEERS_PER_OTHER_DOMAIN)));
        return chosen;
    }

    /** Returns whether an instance chooses another one as a peer. */
    private boolean chooses(PeerIdentity peer, PeerIdentity self) {
        SortedMap<String, PeerAddress> members = byDomain.getOrDefault(self.failureDomain(), new TreeMap<>());
        List<PeerAddress> chosen = peer.failureDomain().equals(self.failureDomain())
                ? chosenInDomain(peer, members)
                : ranked(peer, members, RANKED_PEERS_PER_OTHER_DOMAIN);
        return chosen.stream().anyMatch(address -> address.instance().equals(self.instance()));
    }

    /** Returns the peers that an instance chooses in its own failure domain. */
    private static List<PeerAddress> chosenInDomain(PeerIdentity self, SortedMap<String, PeerAddress> members) {
        if (members.size() - 1 <= MAX_FULL_MESH_PEERS) {
            return ranked(self, members, MAX_FULL_MESH_PEERS);
        }
        List<PeerAddress> chosen = ranked(self, members, RANKED_PEERS_IN_DOMAIN);
        PeerAddress successor = successor(self, members);
        Set<PeerAddress> distinct = new HashSet<>(chosen);
        if (distinct.add(successor)) {
            chosen.add(successor);
        }
        return chosen;
    }

    /** Returns the next instance in the order of names, or the first one after the last. */
    private static PeerAddress successor(PeerIdentity self, SortedMap<String, PeerAddress> members) {
        SortedMap<String, PeerAddress> after = members.tailMap(self.instance() + '\0');
        SortedMap<String, PeerAddress> from = after.isEmpty() ? members : after;
        return from.get(from.firstKey());
    }

    private static List<PeerAddress> ranked(PeerIdentity self, SortedMap<String, PeerAddress> members, int count) {
        return members.values().stream()
                .filter(member -> !member.instance().equals(self.instance()))
                .map(member -> new Candidate(member, weight(self.instance(), member.instance())))
                .sorted(Comparator.comparingLong(Candidate::weight)
                        .thenComparing(candidate -> candidate.peer().instance()))
                .limit(count)
                .map(Candidate::peer)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Returns the rendezvous weight of a peer for an instance; the smallest weight ranks first. */
    private static long weight(String self, String peer) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(self, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(peer, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private boolean isFullMesh(PeerIdentity self) {
        return byDomain.getOrDefault(self.failureDomain(), new TreeMap<>()).size() - 1 <= MAX_FULL_MESH_PEERS;
    }

    /**
     * The links that an instance dials.
     *
     * @param peersToDial the peers to connect to
     * @param fullMesh whether all instances of the failure domain link to one another, so that load needs no relaying
     */
    public record PlannedLinks(List<PeerAddress> peersToDial, boolean fullMesh) {}

    /**
     * A peer with its rendezvous weight.
     *
     * @param peer the peer
     * @param weight the rendezvous weight
     */
    private record Candidate(PeerAddress peer, long weight) {}
}
