package org.verbenatray.resilience;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.verbenatray.time.Deadline;

/** The servers that ended under one request or part of prompts. Not thread-safe. */
final class CrashHistory {
    /** Time since its last crash after which the crashes of a request are forgotten. Until then one more blocks it. */
    static final long RETENTION_MILLIS = 600_000;

    /** Time since its last crash for which a request is blocked. */
    private static final long BLOCK_MILLIS = 120_000;

    /** Runs without a part that this instance must have seen to block it by them alone. */
    private static final int ENOUGH_OWN_RUNS = 3;

    /**
     * Runs without a part that all instances together must have seen to block it. They see many sooner than each by
     * itself, and so before a run with a sound part that servers ended under has had the time to go well.
     */
    private static final int ENOUGH_RUNS_TOGETHER = PartEvidence.MAX_RUNS;

    /** Events in which servers must have ended for the runs that other instances have seen to count. */
    private static final int ENOUGH_EVENTS = 2;

    /** Ends of servers that become known within this time are one event, such as an outage. */
    private static final long EVENT_MILLIS = 300;

    private final Set<String> boots = new HashSet<>();

    /** For a part of prompts: the runs for its model before its first crash. */
    private final RunCounts before;

    /** For a part of prompts: whether a run with it went on after its beginning since its first crash. */
    private boolean established;

    /** For a part of prompts: what the other instances have seen, by their names. */
    private final Map<String, PartEvidence> evidenceOfOthers = new HashMap<>();

    /** The number of events in which the servers ended. */
    private int events;

    /** When the last event is over, null before the first. */
    private Deadline eventEnd;

    private Deadline blockEnd;

    private Deadline expiry;

    private CrashHistory(RunCounts before) {
        this.before = before;
    }

    /** Returns a history without crashes, of what comes after the given runs. */
    static CrashHistory after(RunCounts before) {
        return new CrashHistory(before);
    }

    /** Adds the end of a server at the given time of the ticker; returns false if it was known. */
    boolean add(String boot, long nowNanos) {
        boolean isNew = boots.add(boot);
        if (isNew) {
            recordEvent(nowNanos);
            blockEnd = Deadline.afterMillis(nowNanos, BLOCK_MILLIS);
            expiry = Deadline.afterMillis(nowNanos, RETENTION_MILLIS);
        }
        return isNew;
    }

    private void recordEvent(long nowNanos) {
        if (eventEnd == null || eventEnd.hasPassed(nowNanos)) {
            events++;
            eventEnd = Deadline.afterMillis(nowNanos, EVENT_MILLIS);
        }
    }

    /** Removes the end of a server; returns false if it was not known. */
    boolean remove(String boot) {
        return boots.remove(boot);
    }

    /** Returns the boot ids of the servers that ended. */
    Set<String> boots() {
        return boots;
    }

    /** Returns until when the request, or requests with the part, are blocked if the crashes suffice for it. */
    Deadline blockEnd() {
        return blockEnd;
    }

    /** Returns when the crashes are forgotten. */
    Deadline expiry() {
        return expiry;
    }

    /** Records that a run with the part went on after its beginning. */
    void recordEstablished() {
        established = true;
    }

    /** Records what another instance has seen, in place of what it had told before. */
    void recordTold(String instance, PartEvidence evidence) {
        evidenceOfOthers.put(instance, evidence);
    }

    /**
     * Returns what this instance has seen that speaks for or against the part.
     *
     * @param runs the runs for its model until now
     * @param succeededBefore whether a request with it has run to its end lately
     */
    PartEvidence ownEvidence(RunCounts runs, boolean succeededBefore) {
        RunCounts since =
                new RunCounts(runs.completed() - before.completed(), runs.established() - before.established());
        return PartEvidence.of(since, established, succeededBefore);
    }

    /** Returns the given evidence together with that of the other instances. */
    PartEvidence withEvidenceOfOthers(PartEvidence own) {
        return evidenceOfOthers.values().stream().reduce(own, PartEvidence::plus);
    }

    /**
     * Returns whether the part is taken to crash servers: enough of them have ended under it, and the runs that went
     * well meanwhile tell it from an outage.
     */
    boolean blocksPart(PartEvidence own) {
        PartEvidence all = withEvidenceOfOthers(own);
        boolean toldFromOutage = own.withDoubtsOf(all).tellsFromOutage(ENOUGH_OWN_RUNS)
                || events >= ENOUGH_EVENTS && all.tellsFromOutage(ENOUGH_RUNS_TOGETHER);
        return toldFromOutage && boots.size() >= all.crashesToBlock();
    }
}
