package org.verbenatray.resilience;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Counts the servers that ended under each request, by the fingerprint of the request, and under each part of prompts,
 * by its {@link PartKey}. Blocks a request that keeps crashing servers, and requests with a part that does. Not
 * thread-safe: all calls come from one thread.
 */
public final class CrashLedger {
    private static final int CRASHES_TO_BLOCK = 3;

    /** Crashes that block a part of prompts; one fewer than may happen, so that one may go unnoticed. */
    private static final int PART_CRASHES_TO_BLOCK = 4;

    /** Crashes that block a part with which requests have succeeded lately. */
    private static final int PROVED_PART_CRASHES_TO_BLOCK = 8;

    /** Runs without a part, since its first crash, that show that servers work but for it. */
    private static final int RUNS_WITHOUT_PART = 3;

    /** Time since its last crash for which a request is blocked. */
    private static final long BLOCK_MILLIS = 120_000;

    /** Time since its last crash after which the crashes of a request are forgotten. Until then one more blocks it. */
    private static final long RETENTION_MILLIS = 600_000;

    /** The number of cleared crashes that are remembered. */
    private static final int MAX_CLEARED = 8_192;

    private final Ticker ticker;

    private final Map<String, CrashHistory> historyBySuspect = new HashMap<>();

    private final PartSuccesses partSuccesses;

    /** The crashes that were cleared, which do not count when they are told late; the oldest first. */
    private final Map<Crash, Deadline> clearedUntil = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Crash, Deadline> eldest) {
            return size() > MAX_CLEARED || eldest.getValue().hasPassed(ticker.nanos());
        }
    };

    /** Receives the crashes of each request that has run to its end. */
    private final Consumer<List<Crash>> onCleared;

    private CrashLedger(Ticker ticker, Consumer<List<Crash>> onCleared) {
        this.ticker = ticker;
        this.partSuccesses = PartSuccesses.empty(ticker);
        this.onCleared = onCleared;
    }

    /** Creates an empty ledger that passes the crashes of each cleared request to the consumer. */
    public static CrashLedger create(Ticker ticker, Consumer<List<Crash>> onCleared) {
        return new CrashLedger(ticker, onCleared);
    }

    /** Records a crash that this or another instance has detected; returns false if it was known or was cleared. */
    public boolean recordCrash(Crash crash) {
        if (clearedUntil.containsKey(crash)) {
            return false;
        }
        CrashHistory history = historyBySuspect.computeIfAbsent(
                crash.suspect(),
                key -> new CrashHistory(partSuccesses.requestsOfModel(key), partSuccesses.establishedRunsOfModel(key)));
        boolean isNew = history.boots.add(crash.boot());
        if (isNew) {
            history.blockEnd = Deadline.afterMillis(ticker.nanos(), BLOCK_MILLIS);
            history.expiry = Deadline.afterMillis(ticker.nanos(), RETENTION_MILLIS);
        }
        return isNew;
    }

    /**
     * Records that a server has run a request to its end: what crashed others was neither this request nor a part of
     * its prompt.
     */
    public void recordSuccess(String fingerprint, Collection<String> partKeys) {
        partSuccesses.record(partKeys);
        clear(fingerprint);
        partKeys.forEach(this::clear);
    }

    /**
     * Records that a run went on after its beginning. That clears nothing, as its server may still end under it, but a
     * part that ends each server at once is not in it.
     */
    public void recordEstablished(Collection<String> partKeys) {
        partSuccesses.recordEstablished(partKeys);
        partKeys.stream()
                .map(historyBySuspect::get)
                .filter(Objects::nonNull)
                .forEach(history -> history.established = true);
    }

    private void clear(String suspect) {
        if (historyBySuspect.containsKey(suspect)) {
            List<Crash> cleared = crashesOf(List.of(suspect));
            historyBySuspect.remove(suspect);
            cleared.forEach(this::rememberCleared);
            onCleared.accept(cleared);
        }
    }

    private void rememberCleared(Crash crash) {
        clearedUntil.put(crash, Deadline.afterMillis(ticker.nanos(), RETENTION_MILLIS));
    }

    /** Forgets a crash that another instance has cleared. */
    public void forget(Crash crash) {
        rememberCleared(crash);
        CrashHistory history = historyBySuspect.get(crash.suspect());
        if (history != null && history.boots.remove(crash.boot()) && history.boots.isEmpty()) {
            historyBySuspect.remove(crash.suspect());
        }
    }

    /**
     * Returns until when a request must not be sent because it has crashed servers; empty if it may be sent. Servers
     * that a part of prompts has crashed do not count against the other requests that they ran.
     */
    public Optional<Deadline> blockedUntil(String fingerprint) {
        if (crashCount(fingerprint) < CRASHES_TO_BLOCK) {
            return Optional.empty();
        }
        CrashHistory history = historyBySuspect.get(fingerprint);
        Set<String> unexplained = new HashSet<>(history.boots);
        blockedParts().forEach(part -> unexplained.removeAll(part.boots));
        return unexplained.size() < CRASHES_TO_BLOCK
                ? Optional.empty()
                : Optional.of(history.blockEnd).filter(end -> !end.hasPassed(ticker.nanos()));
    }

    /** Returns until when requests with any of these parts must not be sent; empty if none of them crashes servers. */
    public Optional<Deadline> partsBlockedUntil(Collection<String> partKeys) {
        long now = ticker.nanos();
        return partKeys.stream()
                .filter(this::isBlockedPart)
                .map(key -> historyBySuspect.get(key).blockEnd)
                .max(Comparator.comparingLong(end -> end.remainingMillis(now)));
    }

    private Stream<CrashHistory> blockedParts() {
        return historyBySuspect.entrySet().stream()
                .filter(each -> PartKey.isPart(each.getKey()) && isBlockedPart(each.getKey()))
                .map(Map.Entry::getValue);
    }

    /**
     * Returns whether a part of prompts is taken to crash servers: several ended under it, and since the first of them
     * no request with it has run to its end (which would have cleared it), while others of its model have. Where
     * servers end so often that hardly a request runs to its end, it counts likewise which runs went on after their
     * beginning.
     */
    private boolean isBlockedPart(String key) {
        CrashHistory history = historyBySuspect.get(key);
        if (history == null || history.blockEnd.hasPassed(ticker.nanos())) {
            return false;
        }
        boolean othersSucceed = partSuccesses.requestsOfModel(key) - history.successesBefore >= RUNS_WITHOUT_PART;
        boolean onlyOthersGoOn = !history.established
                && partSuccesses.establishedRunsOfModel(key) - history.establishedBefore >= RUNS_WITHOUT_PART;
        boolean trusted = history.established || partSuccesses.within(key, RETENTION_MILLIS);
        int enough = trusted ? PROVED_PART_CRASHES_TO_BLOCK : PART_CRASHES_TO_BLOCK;
        return (othersSucceed || onlyOthersGoOn) && history.boots.size() >= enough;
    }

    /** Returns the number of servers that ended under a request or a part of prompts, as far as it is known here. */
    public int crashCount(String suspect) {
        CrashHistory history = historyBySuspect.get(suspect);
        return history == null ? 0 : history.boots.size();
    }

    /** Returns the number of servers that ended under each request, by fingerprint, and part, by its key. */
    public Map<String, Integer> crashCounts() {
        Map<String, Integer> counts = new HashMap<>();
        historyBySuspect.forEach((suspect, history) -> counts.put(suspect, history.boots.size()));
        return counts;
    }

    /** Returns all crashes that are known. */
    public List<Crash> crashes() {
        return crashesOf(historyBySuspect.keySet());
    }

    /** Removes the crashes that have expired, and returns them. */
    public List<Crash> removeExpired() {
        long now = ticker.nanos();
        List<String> expired = historyBySuspect.entrySet().stream()
                .filter(each -> each.getValue().expiry.hasPassed(now))
                .map(Map.Entry::getKey)
                .toList();
        List<Crash> removed = crashesOf(expired);
        expired.forEach(historyBySuspect::remove);
        return removed;
    }

    private List<Crash> crashesOf(Collection<String> suspects) {
        return suspects.stream()
                .flatMap(suspect -> historyBySuspect.get(suspect).boots.stream().map(boot -> new Crash(suspect, boot)))
                .toList();
    }

    /** The servers that ended under one request or part of prompts. */
    private static final class CrashHistory {
        private final Set<String> boots = new HashSet<>();

        /** For a part of prompts: how many requests of its model had succeeded before its first crash. */
        private final long successesBefore;

        /** For a part of prompts: how many runs for its model went on after their beginning before its first crash. */
        private final long establishedBefore;

        /** For a part of prompts: whether a run with it went on after its beginning since its first crash. */
        private boolean established;

        private Deadline blockEnd;

        private Deadline expiry;

        private CrashHistory(long successesBefore, long establishedBefore) {
            this.successesBefore = successesBefore;
            this.establishedBefore = establishedBefore;
        }
    }
}
