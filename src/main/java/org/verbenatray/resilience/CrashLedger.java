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
import java.util.stream.Collectors;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/**
 * Counts the servers that ended under each request, by the fingerprint of the request, and under each part of prompts,
 * by its {@link PartKey}. Blocks a request that keeps crashing servers, and requests with a part that does. Not
 * thread-safe: all calls come from one thread.
 */
public final class CrashLedger {
    /**
     * Crashes under a part from which on other instances are told what was seen of it: one fewer than block it, as each
     * server that ends leaves many parts with one or two.
     */
    static final int CRASHES_TO_STATE = 3;

    private static final int CRASHES_TO_BLOCK = 3;

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
        return historyBySuspect
                .computeIfAbsent(crash.suspect(), key -> CrashHistory.after(partSuccesses.countsOfModel(key)))
                .add(crash.boot(), ticker.nanos());
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
        partKeys.stream().map(historyBySuspect::get).filter(Objects::nonNull).forEach(CrashHistory::recordEstablished);
    }

    private void clear(String suspect) {
        if (historyBySuspect.containsKey(suspect)) {
            onCleared.accept(removeCleared(suspect));
        }
    }

    /** Removes the crashes of a suspect, which do not count when they are told late, and returns them. */
    private List<Crash> removeCleared(String suspect) {
        List<Crash> cleared = crashesOf(List.of(suspect));
        historyBySuspect.remove(suspect);
        cleared.forEach(this::rememberCleared);
        return cleared;
    }

    private void rememberCleared(Crash crash) {
        clearedUntil.put(crash, Deadline.afterMillis(ticker.nanos(), CrashHistory.RETENTION_MILLIS));
    }

    /** Forgets a crash that another instance has cleared. */
    public void forget(Crash crash) {
        rememberCleared(crash);
        CrashHistory history = historyBySuspect.get(crash.suspect());
        if (history != null && history.remove(crash.boot()) && history.boots().isEmpty()) {
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
        Set<String> unexplained = new HashSet<>(history.boots());
        blockedPartKeys()
                .forEach(
                        part -> unexplained.removeAll(historyBySuspect.get(part).boots()));
        return unexplained.size() < CRASHES_TO_BLOCK
                ? Optional.empty()
                : Optional.of(history.blockEnd()).filter(end -> !end.hasPassed(ticker.nanos()));
    }

    /** Returns until when requests with any of these parts must not be sent; empty if none of them crashes servers. */
    public Optional<Deadline> partsBlockedUntil(Collection<String> partKeys) {
        long now = ticker.nanos();
        return partKeys.stream()
                .filter(this::isBlockedPart)
                .map(key -> historyBySuspect.get(key).blockEnd())
                .max(Comparator.comparingLong(end -> end.remainingMillis(now)));
    }

    /** Returns whether requests with a part of prompts are blocked. */
    private boolean isBlockedPart(String key) {
        CrashHistory history = historyBySuspect.get(key);
        return history != null
                && !history.blockEnd().hasPassed(ticker.nanos())
                && history.blocksPart(ownEvidence(key, history));
    }

    private PartEvidence evidence(String part, CrashHistory history) {
        return history.withEvidenceOfOthers(ownEvidence(part, history));
    }

    /**
     * Returns what this and other instances have seen that speaks for or against a part of prompts; empty for a
     * request, and if no server ended under it.
     */
    public Optional<PartEvidence> evidence(String suspect) {
        return Optional.ofNullable(historyBySuspect.get(suspect))
                .filter(history -> PartKey.isPart(suspect))
                .map(history -> evidence(suspect, history));
    }

    private PartEvidence ownEvidence(String part, CrashHistory history) {
        return history.ownEvidence(
                partSuccesses.countsOfModel(part), partSuccesses.within(part, CrashHistory.RETENTION_MILLIS));
    }

    /** Returns what this instance has seen of each part under which several servers ended, most of them first. */
    List<PartStatement> statements() {
        return historyBySuspect.entrySet().stream()
                .filter(each ->
                        PartKey.isPart(each.getKey()) && each.getValue().boots().size() >= CRASHES_TO_STATE)
                .sorted(Comparator.comparingInt(each -> -each.getValue().boots().size()))
                .map(each -> new PartStatement(each.getKey(), ownEvidence(each.getKey(), each.getValue())))
                .toList();
    }

    /** Records what another instance has seen of a part, unless no server is known here to have ended under it. */
    void recordStatement(String instance, PartStatement statement) {
        Optional.ofNullable(historyBySuspect.get(statement.part()))
                .ifPresent(history -> history.recordTold(instance, statement.evidence()));
    }

    /**
     * Records that a request with a part has run to its end at another instance, which removes its crashes from the
     * log; returns whether any were known here.
     */
    boolean recordSuccessElsewhere(String part) {
        partSuccesses.recordElsewhere(part);
        boolean known = historyBySuspect.containsKey(part);
        if (known) {
            removeCleared(part);
        }
        return known;
    }

    /** Returns the parts of prompts with which requests are blocked. */
    Set<String> blockedPartKeys() {
        return historyBySuspect.keySet().stream()
                .filter(key -> PartKey.isPart(key) && isBlockedPart(key))
                .collect(Collectors.toSet());
    }

    /** Returns the number of servers that ended under a request or a part of prompts, as far as it is known here. */
    public int crashCount(String suspect) {
        CrashHistory history = historyBySuspect.get(suspect);
        return history == null ? 0 : history.boots().size();
    }

    /** Returns the number of servers that ended under each request, by fingerprint, and part, by its key. */
    public Map<String, Integer> crashCounts() {
        Map<String, Integer> counts = new HashMap<>();
        historyBySuspect.forEach(
                (suspect, history) -> counts.put(suspect, history.boots().size()));
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
                .filter(each -> each.getValue().expiry().hasPassed(now))
                .map(Map.Entry::getKey)
                .toList();
        List<Crash> removed = crashesOf(expired);
        expired.forEach(historyBySuspect::remove);
        return removed;
    }

    private List<Crash> crashesOf(Collection<String> suspects) {
        return suspects.stream()
                .flatMap(suspect ->
                        historyBySuspect.get(suspect).boots().stream().map(boot -> new Crash(suspect, boot)))
                .toList();
    }
}
