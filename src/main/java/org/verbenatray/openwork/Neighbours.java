package org.verbenatray.openwork;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other instances and those among them that share their open work with this one; used on one thread.
 *
 * <p>In a large fleet an instance shares with a bounded number of others and takes them for a sample of all.
 */
public final class Neighbours {
    /** The largest number of instances that one shares with. */
    private static final int MAX_SHARING = 12;

    /** The hash that chooses them. */
    private static final HashFunction HASH = Hashing.murmur3_128();

    /** The name of this instance. */
    private final String self;

    /** The addresses of the others by name. */
    private final Map<String, InetSocketAddress> others = new TreeMap<>();

    /** The addresses of those that this instance shares with. */
    private List<InetSocketAddress> sharing = List.of();

    /** Creates an empty list. */
    private Neighbours(String self) {
        this.self = self;
    }

    /** Returns the list of an instance that knows no other one yet. */
    public static Neighbours of(String self) {
        return new Neighbours(self);
    }

    /** Takes the whole list of instances. */
    public void replace(Map<String, InetSocketAddress> instances) {
        others.clear();
        others.putAll(instances);
        others.remove(self);
        choose();
    }

    /** Takes the address of one instance. */
    public void put(String instance, InetSocketAddress address) {
        if (!instance.equals(self)) {
            others.put(instance, address);
            choose();
        }
    }

    /** Drops an instance. */
    public void remove(String instance) {
        others.remove(instance);
        choose();
    }

    /** Returns the addresses of the instances that this one shares its work with. */
    public Collection<InetSocketAddress> sharing() {
        return sharing;
    }

    /** Returns how many instances each of those that share stands for. */
    public double weight() {
        return sharing.isEmpty() ? 1 : (double) others.size() / sharing.size();
    }

    /** Chooses whom to share with; of any two instances both choose each other or neither does, as far as both fit. */
    private void choose() {
        sharing = others.entrySet().stream()
                .sorted(Comparator.comparingLong(other -> affinity(other.getKey())))
                .limit(MAX_SHARING)
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Returns a number that is the same for a pair of instances on both sides. */
    private long affinity(String other) {
        String pair = self.compareTo(other) < 0 ? self + "|" + other : other + "|" + self;
        return HASH.hashString(pair, StandardCharsets.UTF_8).asLong();
    }
}
