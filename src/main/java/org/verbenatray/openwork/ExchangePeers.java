package org.verbenatray.openwork;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.verbenatray.continuation.StreamHomes;
import org.verbenatray.limits.LimitSharers;

/**
 * Tracks the other instances and selects the peers with which this instance exchanges its open work.
 *
 * <p>In a large fleet an instance exchanges work with a bounded number of peers and treats them as a sample of all
 * instances. Not thread-safe: all calls come from one thread.
 */
public final class ExchangePeers {
    private static final int MAX_PEERS = 12;

    /** The number of instances from which on a failure domain shares its polls by itself. */
    private static final int MIN_GROUP = 5;

    /** The number of instances that keep a fact under a key: enough that some outlive a failure domain. */
    private static final int HOMES = 3;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private final String self;

    /** The failure domain of this instance. */
    private final String ownDomain;

    /** All other instances by name. */
    private final Map<String, ListedInstance> others = new TreeMap<>();

    /** The sharers by server and number, kept until the list of instances changes. */
    private final Map<String, LimitSharers> limitSharers = new HashMap<>();

    /** The first instances of domains by key, domain and number, kept until the list of instances changes. */
    private final Map<String, List<String>> orders = new HashMap<>();

    /** The places of this instance by key, kept until the list of instances changes. */
    private final Map<String, Integer> places = new HashMap<>();

    /** The other instances of the group of this one. */
    private Map<String, ListedInstance> group = Map.of();

    /** Whether the list of instances was read. */
    private boolean listed;

    /** The addresses of the selected peers. */
    private List<InetSocketAddress> selectedAddresses = List.of();

    private ExchangePeers(String self, String ownDomain) {
        this.self = self;
        this.ownDomain = ownDomain;
    }

    /** Creates an empty set of peers for the instance with the given name and failure domain. */
    public static ExchangePeers of(String self, String ownDomain) {
        return new ExchangePeers(self, ownDomain);
    }

    /** Replaces all instances by the given ones. */
    public void replace(Map<String, ListedInstance> instances) {
        others.clear();
        others.putAll(instances);
        others.remove(self);
        listed = true;
        select();
    }

    /** Adds an instance or replaces its entry; this instance itself is ignored. */
    public void put(String instance, ListedInstance entry) {
        if (!instance.equals(self)) {
            others.put(instance, entry);
            select();
        }
    }

    /** Removes an instance. */
    public void remove(String instance) {
        others.remove(instance);
        select();
    }

    /** Returns the addresses of the peers with which this instance exchanges its work. */
    public Collection<InetSocketAddress> selectedAddresses() {
        return selectedAddresses;
    }

    /** Returns the addresses of all other instances. */
    public Collection<InetSocketAddress> allAddresses() {
        return others.values().stream().map(ListedInstance::address).toList();
    }

    /** Returns the list entry of another instance; empty if it is not listed. */
    public Optional<ListedInstance> find(String instance) {
        return Optional.ofNullable(others.get(instance));
    }

    /** Returns the number of instances that each selected peer represents, 1 if there is none. */
    public double sampleWeight() {
        return selectedAddresses.isEmpty() ? 1 : (double) others.size() / selectedAddresses.size();
    }

    /**
     * Returns the instances that keep a fact under the given key, in different failure domains as far as possible. All
     * instances that see the same list derive the same ones.
     */
    public StreamHomes homes(String key) {
        Set<String> chosen = choose(key, HOMES);
        return new StreamHomes(List.copyOf(addresses(chosen).values()), chosen.contains(self));
    }

    /**
     * Returns the instances that share the rate of a server that states a limit, in different failure domains as far as
     * possible. All instances that see the same list derive the same ones.
     *
     * @param boot the boot id of the server
     * @param requestsPerSecond its limit
     */
    public LimitSharers limitSharers(String boot, double requestsPerSecond) {
        int count = LimitSharers.wanted(requestsPerSecond);
        return limitSharers.computeIfAbsent(boot + " " + count, key -> {
            Set<String> chosen = choose(boot, count);
            return new LimitSharers(addresses(chosen), chosen.contains(self), listed);
        });
    }

    /**
     * Returns the addresses of the instances that share polls with this one: those of its failure domain, or all if
     * these are few.
     */
    public Collection<InetSocketAddress> groupAddresses() {
        return group.values().stream().map(ListedInstance::address).toList();
    }

    /**
     * Returns the place of this instance in the order in which the group polls under the given key; zero is the first,
     * and that of an instance that knows no other. All instances that see the same list derive the same order.
     */
    public int placeInGroup(String key) {
        return places.computeIfAbsent(key, each -> {
            long own = hash(each + "|" + self);
            return (int) group.keySet().stream()
                    .filter(other -> hash(each + "|" + other) < own)
                    .count();
        });
    }

    /**
     * Returns the first instances of a failure domain in the order of a key, at most the given number. All instances
     * that see the same list derive the same ones.
     */
    public List<String> firstOfDomain(String key, String domain, int count) {
        return orders.computeIfAbsent(
                key + "|" + domain + "|" + count,
                each -> rank(key).stream()
                        .filter(instance -> instance.domain().equals(domain))
                        .limit(count)
                        .map(RankedInstance::name)
                        .toList());
    }

    /** Returns the failure domains of the other instances, without that of this one. */
    public Set<String> otherDomains() {
        return others.values().stream()
                .map(ListedInstance::domain)
                .filter(domain -> !domain.equals(ownDomain))
                .collect(Collectors.toSet());
    }

    /** Returns the given number of instances for a key, or all if there are not so many. */
    private Set<String> choose(String key, int count) {
        List<RankedInstance> ranked = rank(key);
        Set<String> chosen = firstOfEachDomain(ranked, count);
        for (RankedInstance instance : ranked) {
            if (chosen.size() < count) {
                chosen.add(instance.name());
            }
        }
        return chosen;
    }

    /** Returns the addresses of the given instances by name, without this one. */
    private Map<String, InetSocketAddress> addresses(Set<String> instances) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        instances.stream()
                .filter(others::containsKey)
                .forEach(name -> addresses.put(name, others.get(name).address()));
        return addresses;
    }

    /** Returns all instances in the order of their hashes with the key; each hash is computed once. */
    private List<RankedInstance> rank(String key) {
        List<RankedInstance> ranked = new ArrayList<>(others.size() + 1);
        others.forEach((name, entry) -> ranked.add(new RankedInstance(name, entry.domain(), hash(key + "|" + name))));
        ranked.add(new RankedInstance(self, ownDomain, hash(key + "|" + self)));
        ranked.sort(Comparator.comparingLong(RankedInstance::hash));
        return ranked;
    }

    /** Returns the first instance of each failure domain, at most the given number. */
    private static Set<String> firstOfEachDomain(List<RankedInstance> ranked, int count) {
        Set<String> chosen = new LinkedHashSet<>();
        Set<String> domains = new HashSet<>();
        for (RankedInstance instance : ranked) {
            if (chosen.size() < count && domains.add(instance.domain())) {
                chosen.add(instance.name());
            }
        }
        return chosen;
    }

    private static long hash(String text) {
        return HASH.hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /**
     * Selects the peers with the smallest pair hash.
     *
     * <p>The hash is symmetric, so two instances select each other or neither, as far as the limits of both allow.
     */
    private void select() {
        limitSharers.clear();
        places.clear();
        orders.clear();
        group = selectGroup();
        selectedAddresses = others.entrySet().stream()
                .sorted(Comparator.comparingLong(other -> pairHash(other.getKey())))
                .limit(MAX_PEERS)
                .map(other -> other.getValue().address())
                .toList();
    }

    private Map<String, ListedInstance> selectGroup() {
        Map<String, ListedInstance> sameDomain = new TreeMap<>(others);
        sameDomain.values().removeIf(instance -> !instance.domain().equals(ownDomain));
        return sameDomain.size() + 1 >= MIN_GROUP ? sameDomain : Map.copyOf(others);
    }

    /** Returns a hash of the pair of this and another instance, which is the same on both sides. */
    private long pairHash(String other) {
        String pair = self.compareTo(other) < 0 ? self + "|" + other : other + "|" + self;
        return hash(pair);
    }

    /**
     * An instance and its hash with a key.
     *
     * @param name the name of the instance
     * @param domain its failure domain
     * @param hash the hash
     */
    private record RankedInstance(String name, String domain, long hash) {}
}
