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
 * Tracks requests that may crash backend servers, so that one such request takes down only a few servers. A request
 * that was in flight on a crashed server becomes a suspect. A suspect may only run isolated, on a server that runs
 * nothing else; it is cleared when it completes that way and blocked for a time after further crashes.
 *
 * <p>Instances exchange their tables as {@link SuspectDigest}s. For that reason, all times are wall-clock milliseconds
 * since the epoch.
 *
 * <p>Not thread-safe: the caller provides the lock and holds it from {@link #decide} to the following call of
 * {@link #recordStart} or {@link #reserve}.
 */
public final class SuspectTable {
    /** The order in which a full table evicts entries: those with the fewest crashes first, then the oldest. */
    private static final Comparator<SuspectEntry> BY_EVICTION = Comparator.comparingInt(
                    (SuspectEntry entry) -> entry.crashes().size())
            .thenComparingLong(SuspectEntry::lastChangeMillis)
            .thenComparing(SuspectEntry::fingerprint);

    private final String instance;
    private final SuspectLimits limits;
    private final SortedMap<Fingerprint, SuspectEntry> entries = new TreeMap<>();
    private final SortedMap<Fingerprint, InFlightCopies> inFlight = new TreeMap<>();

    /** The isolated runs of this instance. */
    private final SortedMap<Fingerprint, IsolatedRun> isolatedRuns = new TreeMap<>();

    /** The last digest of each peer, by instance, without its entries. */
    private final SortedMap<String, SuspectDigest> peerDigests = new TreeMap<>();

    /** Incremented with each change of {@link #isolatedRuns}. */
    private long sequence;

    private SuspectTable(String instance, SuspectLimits limits) {
        this.instance = instance;
        this.limits = limits;
    }

    /** Returns an empty table for the instance with the given name, which must be unique to this process. */
    public static SuspectTable create(String instance, SuspectLimits limits) {
        return new SuspectTable(instance, limits);
    }

    /**
     * Decides how a request may run. Changes nothing: the caller reports what it does with the request through
     * {@link #recordStart} or {@link #reserve}.
     *
     * @param servers the candidate servers
     */
    public QuarantineDecision decide(Fingerprint fingerprint, Collection<String> servers, long nowMillis) {
        SuspectEntry entry = entries.getOrDefault(fingerprint, SuspectEntry.create(fingerprint));
        if (entry.isBlocked(nowMillis)) {
            return new QuarantineDecision.Reject(retryAtMillis(entry));
        }
        Optional<String> current =
                Optional.ofNullable(inFlight.get(fingerprint)).map(InFlightCopies::server);
        if (!entry.isSuspect()) {
            return new QuarantineDecision.RunNormally(current);
        }
        QuarantineDecision wait = new QuarantineDecision.Wait(nowMillis + limits.retryDelayMillis());
        boolean equalRequestRuns = current.isPresent()
                || activeIsolatedRuns(nowMillis)
                        .anyMatch(run -> run.fingerprint().equals(fingerprint));
        Set<String> reserved = reservedServers(nowMillis);
        if (equalRequestRuns || reserved.size() >= limits.maxIsolatedRuns()) {
            return wait;
        }
        return servers.stream()
                .filter(server -> !reserved.contains(server))
                .max(Comparator.comparingLong(server -> weight(fingerprint, server)))
                .<QuarantineDecision>map(QuarantineDecision.RunIsolated::new)
                .orElse(wait);
    }

    /** Returns the servers that are reserved for isolated runs of this instance or of a peer and get no other work. */
    public Set<String> reservedServers(long nowMillis) {
        return activeIsolatedRuns(nowMillis).map(IsolatedRun::server).collect(Collectors.toSet());
    }

    /** Records that a request is about to be sent to a server; an isolated run requires {@link #reserve} before. */
    public void recordStart(Fingerprint fingerprint, String server) {
        inFlight.merge(fingerprint, InFlightCopies.first(server), (known, one) -> known.withCopies(known.copies() + 1));
    }

    /**
     * Records that the server generated tokens for a request.
     *
     * <p>A later crash more likely has another cause, so a single one does not make the request a suspect.
     */
    public void recordProgress(Fingerprint fingerprint) {
        inFlight.computeIfPresent(fingerprint, (key, known) -> known.afterProgress());
    }

    /** Reserves a server for an isolated run; the caller sends the request when the server has no other work left. */
    public void reserve(Fingerprint fingerprint, String server, long nowMillis) {
        isolatedRuns.put(fingerprint, new IsolatedRun(fingerprint, server, nowMillis + limits.isolatedRunMillis()));
        sequence++;
    }

    /**
     * Records that a request ended and that the server can no longer act on it, or that a reservation was released
     * before the request was sent.
     *
     * @param complete whether the server sent a complete response, which clears the crashes of an isolated request
     */
    public void recordEnd(Fingerprint fingerprint, boolean complete, long nowMillis) {
        inFlight.computeIfPresent(
                fingerprint, (key, known) -> known.copies() == 1 ? null : known.withCopies(known.copies() - 1));
        boolean isolated = isolatedRuns.remove(fingerprint) != null;
        if (!isolated) {
            return;
        }
        sequence++;
        SuspectEntry entry = entries.get(fingerprint);
        if (complete && entry != null) {
            entries.put(fingerprint, entry.withCrashesCleared(nowMillis));
        }
    }

    /**
     * Records a server crash for all requests of this instance that were in flight on the server, and removes them from
     * those in flight.
     *
     * @param incarnation the server's name and process start; each incarnation is counted once, however often its crash
     *     is reported
     * @return the fingerprints of the affected requests
     */
    public Set<Fingerprint> recordCrash(String server, String incarnation, long nowMillis) {
        Set<Fingerprint> affected = inFlight.entrySet().stream()
                .filter(running -> running.getValue().server().equals(server))
                .map(Map.Entry::getKey)
                .collect(Collectors.toCollection(HashSet::new));
        for (Fingerprint fingerprint : affected) {
            InFlightCopies running = inFlight.remove(fingerprint);
            boolean early = isolatedRuns.containsKey(fingerprint) || !running.progressed();
            SuspectEntry entry = entries.getOrDefault(fingerprint, SuspectEntry.create(fingerprint));
            put(entry.withCrash(incarnation, early, nowMillis), nowMillis);
        }
        if (isolatedRuns.keySet().removeAll(affected)) {
            sequence++;
        }
        evict(nowMillis);
        return affected;
    }

    /** Returns the isolated runs of this instance and all entries, for publishing to the peerDigests. */
    public SuspectDigest digest() {
        return new SuspectDigest(instance, sequence, List.copyOf(isolatedRuns.values()), List.copyOf(entries.values()));
    }

    /** Merges the digest of a peer into this table; isolated runs with an older sequence number are ignored. */
    public void merge(SuspectDigest digest, long nowMillis) {
        for (SuspectEntry entry : digest.entries()) {
            SuspectEntry known = entries.getOrDefault(entry.fingerprint(), SuspectEntry.create(entry.fingerprint()));
            put(known.merge(entry), nowMillis);
        }
        evict(nowMillis);
        SuspectDigest runs = new SuspectDigest(digest.instance(), digest.sequence(), digest.isolatedRuns(), List.of());
        if (!digest.instance().equals(instance)) {
            peerDigests.merge(
                    digest.instance(), runs, (known, next) -> next.sequence() >= known.sequence() ? next : known);
        }
    }

    /** Removes the isolated runs of an unreachable peer, which releases its reserved servers; the entries stay. */
    public void removePeerRuns(String peer) {
        peerDigests.remove(peer);
    }

    /** Returns all entries, for the state dump. */
    public List<SuspectEntry> entries() {
        return List.copyOf(entries.values());
    }

    /** Stores an entry and blocks its fingerprint if it has enough crashes. */
    private void put(SuspectEntry entry, long nowMillis) {
        entries.put(entry.fingerprint(), entry.withBlockIfDue(limits, nowMillis));
    }

    /** Removes expired entries and expired runs of peers, and evicts entries above the limit. */
    private void evict(long nowMillis) {
        entries.values().removeIf(entry -> nowMillis - entry.lastChangeMillis() >= limits.entryTtlMillis());
        peerDigests
                .values()
                .removeIf(peer -> peer.isolatedRuns().stream().allMatch(run -> run.untilMillis() <= nowMillis));
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

    /** Returns the earliest time at which a blocked request may be retried, in milliseconds since the epoch. */
    private long retryAtMillis(SuspectEntry entry) {
        if (entry.crashes().size() >= SuspectEntry.MAX_CRASHES) {
            return entry.lastChangeMillis() + limits.entryTtlMillis();
        }
        return entry.blockedUntilMillis();
    }

    /** Returns the isolated runs of this instance and of its peers that have not expired. */
    private Stream<IsolatedRun> activeIsolatedRuns(long nowMillis) {
        Stream<IsolatedRun> others = peerDigests.values().stream().flatMap(peer -> peer.isolatedRuns().stream());
        return Stream.concat(isolatedRuns.values().stream(), others).filter(run -> nowMillis < run.untilMillis());
    }

    /** Returns the rendezvous hash of a fingerprint and a server; all instances prefer the server with the greatest. */
    private static long weight(Fingerprint fingerprint, String server) {
        return Hashing.sipHash24()
                .hashString(fingerprint.hex() + '\n' + server, StandardCharsets.UTF_8)
                .asLong();
    }
}
