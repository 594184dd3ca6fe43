package org.verbenatray.suspects;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The requests that may crash backend servers, as one instance knows them. Times are milliseconds since the epoch,
 * because instances exchange them.
 *
 * <p>Used by one thread at a time; the owner provides the lock. It holds the lock from {@link #decide} to the call of
 * {@link #started} or {@link #bar} that follows.
 */
public final class SuspectTable {
    /** The order in which entries are dropped from a full table: those that bar least and changed first. */
    private static final Comparator<SuspectEntry> BY_EVICTION = Comparator.comparingInt(
                    (SuspectEntry entry) -> entry.crashes().size())
            .thenComparingLong(SuspectEntry::lastChangeMillis)
            .thenComparing(SuspectEntry::fingerprint);

    /** The instance. */
    private final String instance;

    /** The bounds. */
    private final SuspectLimits limits;

    /** The entries by fingerprint. */
    private final SortedMap<Fingerprint, SuspectEntry> entries = new TreeMap<>();

    /** The requests that this instance has in flight, by fingerprint. */
    private final SortedMap<Fingerprint, InFlight> inFlight = new TreeMap<>();

    /** The runs alone of this instance, by fingerprint. */
    private final SortedMap<Fingerprint, AloneRun> aloneRuns = new TreeMap<>();

    /** The last digest of each peer without its entries, by instance. */
    private final SortedMap<String, SuspectDigest> peers = new TreeMap<>();

    /** Rises with each change of the own runs alone. */
    private long sequence;

    /** Creates an empty table. */
    private SuspectTable(String instance, SuspectLimits limits) {
        this.instance = instance;
        this.limits = limits;
    }

    /** Returns an empty table of an instance; no second process may use the name. */
    public static SuspectTable create(String instance, SuspectLimits limits) {
        return new SuspectTable(instance, limits);
    }

    /**
     * Decides how a request may run.
     *
     * @param servers the servers that could run it
     */
    public Quarantine decide(Fingerprint fingerprint, Collection<String> servers, long nowMillis) {
        SuspectEntry entry = entries.getOrDefault(fingerprint, SuspectEntry.create(fingerprint));
        if (entry.isCondemned(nowMillis)) {
            return new Quarantine.Refused(comeBackMillis(entry));
        }
        Optional<String> current =
                Optional.ofNullable(inFlight.get(fingerprint)).map(InFlight::server);
        if (!entry.isSuspect()) {
            return new Quarantine.Normally(current);
        }
        Quarantine wait = new Quarantine.Wait(nowMillis + limits.waitMillis());
        boolean equalRuns = current.isPresent()
                || runsAlone(nowMillis).anyMatch(run -> run.fingerprint().equals(fingerprint));
        Set<String> barred = barredServers(nowMillis);
        if (equalRuns || barred.size() >= limits.maxQuarantined()) {
            return wait;
        }
        return servers.stream()
                .filter(server -> !barred.contains(server))
                .max(Comparator.comparingLong(server -> weight(fingerprint, server)))
                .<Quarantine>map(Quarantine.Alone::new)
                .orElse(wait);
    }

    /** Returns the servers that run a suspect alone here or at a peer and get no other work. */
    public Set<String> barredServers(long nowMillis) {
        return runsAlone(nowMillis).map(AloneRun::server).collect(Collectors.toSet());
    }

    /** Takes note that a request is about to be sent, normally or, after {@link #bar}, alone. */
    public void started(Fingerprint fingerprint, String server) {
        inFlight.merge(fingerprint, InFlight.first(server), (known, one) -> known.withCopies(known.copies() + 1));
    }

    /**
     * Takes note that the server generated tokens for a request.
     *
     * <p>A crash after that more likely has another cause, so the request stays free to run with others once more.
     */
    public void progressed(Fingerprint fingerprint) {
        inFlight.computeIfPresent(fingerprint, (key, known) -> known.afterProgress());
    }

    /** Bars a server for a run alone; the request is sent when nothing else is left there. */
    public void bar(Fingerprint fingerprint, String server, long nowMillis) {
        aloneRuns.put(fingerprint, new AloneRun(fingerprint, server, nowMillis + limits.aloneMillis()));
        sequence++;
    }

    /**
     * Takes note that a request ended and that the server can no longer act on it, or that a barred server was given up
     * before the request was sent.
     *
     * @param whole whether the server gave its whole answer, which clears a suspect that ran alone
     */
    public void finished(Fingerprint fingerprint, boolean whole, long nowMillis) {
        inFlight.computeIfPresent(
                fingerprint, (key, known) -> known.copies() == 1 ? null : known.withCopies(known.copies() - 1));
        boolean alone = aloneRuns.remove(fingerprint) != null;
        if (!alone) {
            return;
        }
        sequence++;
        SuspectEntry entry = entries.get(fingerprint);
        if (whole && entry != null) {
            entries.put(fingerprint, entry.cleared(nowMillis));
        }
    }

    /**
     * Makes all requests in flight on a crashed server suspects and returns them; they are no longer in flight.
     *
     * @param incarnation the server's name and process start; the same crash is counted once however often it is told
     */
    public Set<Fingerprint> crashed(String server, String incarnation, long nowMillis) {
        Set<Fingerprint> hit = inFlight.entrySet().stream()
                .filter(running -> running.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(HashSet::new));
        for (Fingerprint fingerprint : hit) {
            InFlight running = inFlight.remove(fingerprint);
            boolean early = aloneRuns.containsKey(fingerprint) || !running.progressed();
            SuspectEntry entry = entries.getOrDefault(fingerprint, SuspectEntry.create(fingerprint));
            put(entry.crashed(incarnation, early, nowMillis), nowMillis);
        }
        if (aloneRuns.keySet().removeAll(hit)) {
            sequence++;
        }
        trim(nowMillis);
        return hit;
    }

    /** Returns what peers have to know. */
    public SuspectDigest digest() {
        return new SuspectDigest(instance, sequence, List.copyOf(aloneRuns.values()), List.copyOf(entries.values()));
    }

    /** Takes in what a peer knows. */
    public void merge(SuspectDigest digest, long nowMillis) {
        for (SuspectEntry entry : digest.entries()) {
            SuspectEntry known = entries.getOrDefault(entry.fingerprint(), SuspectEntry.create(entry.fingerprint()));
            put(known.merge(entry), nowMillis);
        }
        trim(nowMillis);
        SuspectDigest runs = new SuspectDigest(digest.instance(), digest.sequence(), digest.aloneRuns(), List.of());
        if (!digest.instance().equals(instance)) {
            peers.merge(digest.instance(), runs, (known, next) -> next.sequence() >= known.sequence() ? next : known);
        }
    }

    /** Forgets the runs alone of a peer that fell silent, so that its servers serve others again; its entries stay. */
    public void forgetRunsOf(String peer) {
        peers.remove(peer);
    }

    /** Returns the entries for the state dump. */
    public List<SuspectEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** Stores an entry and condemns it when its crashes ask for it. */
    private void put(SuspectEntry entry, long nowMillis) {
        entries.put(entry.fingerprint(), entry.condemnedIfDue(limits, nowMillis));
    }

    /** Drops forgotten entries, and those that bar least while there are too many. */
    private void trim(long nowMillis) {
        entries.values().removeIf(entry -> nowMillis - entry.lastChangeMillis() >= limits.forgetMillis());
        peers.values().removeIf(peer -> peer.aloneRuns().stream().allMatch(run -> run.untilMillis() <= nowMillis));
        int excess = entries.size() - limits.maxEntries();
        if (excess <= 0) {
            return;
        }
        List<Fingerprint> evicted = entries.values().stream()
                .sorted(BY_EVICTION)
                .limit(excess)
                .map(SuspectEntry::fingerprint)
                .toList();
        entries.keySet().removeAll(evicted);
    }

    /** Returns the time from which the caller of a condemned request may come back. */
    private long comeBackMillis(SuspectEntry entry) {
        if (entry.crashes().size() >= SuspectEntry.MAX_CRASHES) {
            return entry.lastChangeMillis() + limits.forgetMillis();
        }
        return entry.condemnedUntilMillis();
    }

    /** Returns the runs alone of this instance and of its peers that have not ended. */
    private Stream<AloneRun> runsAlone(long nowMillis) {
        Stream<AloneRun> others = peers.values().stream()
                .flatMap(peer -> peer.aloneRuns().stream())
                .filter(run -> nowMillis < run.untilMillis());
        return Stream.concat(aloneRuns.values().stream(), others);
    }

    /** Returns the weight of a server for a fingerprint; the heaviest runs it, at every instance. */
    private static long weight(Fingerprint fingerprint, String server) {
        return Hashing.sipHash24()
                .hashString(fingerprint.hex() + '\n' + server, StandardCharsets.UTF_8)
                .asLong();
    }
}
