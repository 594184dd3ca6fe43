package org.verbenatray.resilience;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Counts the servers that ended under each request, by the fingerprint of the request, and blocks a request that keeps
 * crashing servers. Not thread-safe: all calls come from one thread.
 */
public final class CrashLedger {
    private static final int CRASHES_TO_BLOCK = 3;

    /** Time since its last crash for which a request is blocked. */
    private static final long BLOCK_MILLIS = 120_000;

    /** Time since its last crash after which the crashes of a request are forgotten. Until then one more blocks it. */
    private static final long RETENTION_MILLIS = 600_000;

    private final Ticker ticker;

    private final Map<String, CrashHistory> crashesByFingerprint = new HashMap<>();

    /** Receives the crashes of each request that has run to its end. */
    private final Consumer<List<Crash>> onCleared;

    private CrashLedger(Ticker ticker, Consumer<List<Crash>> onCleared) {
        this.ticker = ticker;
        this.onCleared = onCleared;
    }

    /** Creates an empty ledger that passes the crashes of each cleared request to the consumer. */
    public static CrashLedger create(Ticker ticker, Consumer<List<Crash>> onCleared) {
        return new CrashLedger(ticker, onCleared);
    }

    /** Records a crash that this or another instance has detected; returns false if it was known. */
    public boolean recordCrash(Crash crash) {
        CrashHistory history = crashesByFingerprint.computeIfAbsent(crash.fingerprint(), key -> new CrashHistory());
        boolean isNew = history.boots.add(crash.boot());
        if (isNew) {
            history.blockEnd = Deadline.afterMillis(ticker.nanos(), BLOCK_MILLIS);
            history.expiry = Deadline.afterMillis(ticker.nanos(), RETENTION_MILLIS);
        }
        return isNew;
    }

    /** Records that a server has run a request to its end: what crashed others was not this request. */
    public void recordSuccess(String fingerprint) {
        if (crashesByFingerprint.containsKey(fingerprint)) {
            List<Crash> cleared = crashesOf(List.of(fingerprint));
            crashesByFingerprint.remove(fingerprint);
            onCleared.accept(cleared);
        }
    }

    /** Forgets a crash that another instance has cleared. */
    public void forget(Crash crash) {
        CrashHistory history = crashesByFingerprint.get(crash.fingerprint());
        if (history != null && history.boots.remove(crash.boot()) && history.boots.isEmpty()) {
            crashesByFingerprint.remove(crash.fingerprint());
        }
    }

    /** Returns until when a request must not be sent because it has crashed servers; empty if it may be sent. */
    public Optional<Deadline> blockedUntil(String fingerprint) {
        return crashCount(fingerprint) < CRASHES_TO_BLOCK
                ? Optional.empty()
                : Optional.of(crashesByFingerprint.get(fingerprint).blockEnd)
                        .filter(end -> !end.hasPassed(ticker.nanos()));
    }

    /** Returns the number of servers that a request has crashed, as far as it is known here. */
    public int crashCount(String fingerprint) {
        CrashHistory history = crashesByFingerprint.get(fingerprint);
        return history == null ? 0 : history.boots.size();
    }

    /** Returns the number of servers that each request has crashed, by fingerprint. */
    public Map<String, Integer> crashCounts() {
        Map<String, Integer> counts = new HashMap<>();
        crashesByFingerprint.forEach((fingerprint, history) -> counts.put(fingerprint, history.boots.size()));
        return counts;
    }

    /** Returns all crashes that are known. */
    public List<Crash> crashes() {
        return crashesOf(crashesByFingerprint.keySet());
    }

    /** Removes the crashes that have expired, and returns them. */
    public List<Crash> removeExpired() {
        long now = ticker.nanos();
        List<String> expired = crashesByFingerprint.entrySet().stream()
                .filter(each -> each.getValue().expiry.hasPassed(now))
                .map(Map.Entry::getKey)
                .toList();
        List<Crash> removed = crashesOf(expired);
        expired.forEach(crashesByFingerprint::remove);
        return removed;
    }

    private List<Crash> crashesOf(Collection<String> fingerprints) {
        return fingerprints.stream()
                .flatMap(fingerprint ->
                        crashesByFingerprint.get(fingerprint).boots.stream().map(boot -> new Crash(fingerprint, boot)))
                .toList();
    }

    /** The boots of servers that one request has crashed. */
    private static final class CrashHistory {
        private final Set<String> boots = new HashSet<>();

        private Deadline blockEnd;

        private Deadline expiry;
    }
}
