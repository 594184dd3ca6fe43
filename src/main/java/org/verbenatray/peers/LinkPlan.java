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
 * Which peers an instance links to, as a pure function of the instance list.
 *
 * <p>In a small failure domain every instance links to every other. In a larger one each links to its successor in the
 * order of names, which keeps the domain connected, and to the peers that rendezvous hashing ranks first for it. It
 * links to a fixed number of instances of each other failure domain. So the number of links of an instance depends on
 * the number of failure domains, and not on the number of instances.
 */
public final class LinkPlan {
    /** The largest failure domain, without the instance itself, whose instances all link to one another. */
    static final int MAX_WHOLE_DOMAIN = 8;

    /** The ranked peers that an instance of a larger failure domain links to besides its successor. */
    static final int RANKED_IN_DOMAIN = 4;

    /** The instances of each other failure domain that an instance links to. */
    static final int RANKED_PER_OTHER_DOMAIN = 2;

    /** The instances by failure domain and name. */
    private final SortedMap<String, SortedMap<String, PeerAddress>> byDomain = new TreeMap<>();

    /** Creates a plan. */
    private LinkPlan(Collection<PeerAddress> instances) {
        for (PeerAddress instance : instances) {
            byDomain.computeIfAbsent(instance.failureDomain(), domain -> new TreeMap<>())
                    .put(instance.instance(), instance);
        }
    }

    /** Returns the plan for a list of instances. */
    public static LinkPlan of(Collection<PeerAddress> instances) {
        return new LinkPlan(instances);
    }

    /**
     * Returns the links that an instance opens.
     *
     * <p>Of two instances that chose each other only the one whose name comes first opens the link.
     */
    public PlannedLinks linksOf(PeerIdentity self) {
        List<PeerAddress> opened = new ArrayList<>();
        for (PeerAddress peer : chosenBy(self)) {
            boolean peerOpens = peer.instance().compareTo(self.instance()) < 0
                    && choosesBack(new PeerIdentity(peer.instance(), peer.failureDomain()), self);
            if (!peerOpens) {
                opened.add(peer);
            }
        }
        return new PlannedLinks(List.copyOf(opened), isWhole(self));
    }

    /** Returns the peers that an instance chooses. */
    private List<PeerAddress> chosenBy(PeerIdentity self) {
        List<PeerAddress> chosen = new ArrayList<>();
        byDomain.forEach((domain, members) -> chosen.addAll(
                domain.equals(self.failureDomain())
                        ? chosenInDomain(self, members)
                        : ranked(self, members, RANKED_PER_OTHER_DOMAIN)));
        return chosen;
    }

    /** Returns whether a peer chooses an instance. */
    private boolean choosesBack(PeerIdentity peer, PeerIdentity self) {
        SortedMap<String, PeerAddress> members = byDomain.getOrDefault(self.failureDomain(), new TreeMap<>());
        List<PeerAddress> chosen = peer.failureDomain().equals(self.failureDomain())
                ? chosenInDomain(peer, members)
                : ranked(peer, members, RANKED_PER_OTHER_DOMAIN);
        return chosen.stream().anyMatch(address -> address.instance().equals(self.instance()));
    }

    /** Returns the peers that an instance chooses within its own failure domain. */
    private static List<PeerAddress> chosenInDomain(PeerIdentity self, SortedMap<String, PeerAddress> members) {
        if (members.size() - 1 <= MAX_WHOLE_DOMAIN) {
            return ranked(self, members, MAX_WHOLE_DOMAIN);
        }
        List<PeerAddress> chosen = ranked(self, members, RANKED_IN_DOMAIN);
        PeerAddress successor = successor(self, members);
        Set<PeerAddress> distinct = new HashSet<>(chosen);
        if (distinct.add(successor)) {
            chosen.add(successor);
        }
        return chosen;
    }

    /** Returns the next instance in the order of names, the first one after the last. */
    private static PeerAddress successor(PeerIdentity self, SortedMap<String, PeerAddress> members) {
        SortedMap<String, PeerAddress> after = members.tailMap(self.instance() + '\0');
        SortedMap<String, PeerAddress> from = after.isEmpty() ? members : after;
        return from.get(from.firstKey());
    }

    /** Returns the peers that rendezvous hashing ranks first for an instance. */
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

    /** Returns the rendezvous weight of a peer for an instance; the smallest ranks first. */
    private static long weight(String self, String peer) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(self, StandardCharsets.UTF_8)
                .putChar('\0')
                .putString(peer, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** Returns whether all instances of the failure domain link to one another. */
    private boolean isWhole(PeerIdentity self) {
        return byDomain.getOrDefault(self.failureDomain(), new TreeMap<>()).size() - 1 <= MAX_WHOLE_DOMAIN;
    }

    /**
     * The links that an instance opens.
     *
     * @param opened the peers
     * @param wholeDomain whether all instances of the failure domain link to one another, so that load needs no relay
     */
    public record PlannedLinks(List<PeerAddress> opened, boolean wholeDomain) {}

    /**
     * A peer with its rendezvous weight.
     *
     * @param peer the peer
     * @param weight the weight
     */
    private record Candidate(PeerAddress peer, long weight) {}
}
