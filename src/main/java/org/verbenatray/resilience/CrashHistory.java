package org.verbenatray.resilience;

import java.util.HashSet;
import java.util.Set;
import org.verbenatray.time.Deadline;

/** The servers that ended under one request or part of prompts. Not thread-safe. */
final class CrashHistory {
    /** Time since its last crash after which the crashes of a request are forgotten. Until then one more blocks it. */
    static final long RETENTION_MILLIS = 600_000;

    /** Time since its last crash for which a request is blocked. */
    private static final long BLOCK_MILLIS = 120_000;

    private final Set<String> boots = new HashSet<>();

    /** For a part of prompts: the runs for its model before its first crash. */
    private final RunCounts before;

    /** For a part of prompts: whether a run with it went on after its beginning since its first crash. */
    private boolean established;

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
            blockEnd = Deadline.afterMillis(nowNanos, BLOCK_MILLIS);
            expiry = Deadline.afterMillis(nowNanos, RETENTION_MILLIS);
        }
        return isNew;
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

    /**
     * Returns what speaks for or against the part.
     *
     * @param runs the runs for its model until now
     * @param succeededBefore whether a request with it has run to its end lately
     */
    PartEvidence evidence(RunCounts runs, boolean succeededBefore) {
        RunCounts since =
                new RunCounts(runs.completed() - before.completed(), runs.established() - before.established());
        return PartEvidence.of(since, established, succeededBefore);
    }
}
