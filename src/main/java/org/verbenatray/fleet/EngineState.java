package org.verbenatray.fleet;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;

/** The mutable state of one engine. Thread-safe. */
final class EngineState {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The largest factor by which the time between probes grows. */
    private static final int MAX_PROBE_FACTOR = 16;

    /** The incarnation of an engine that was never seen. */
    private static final long UNKNOWN_INCARNATION = Long.MIN_VALUE;

    /** The engine's name. */
    private final String name;

    /** The bounds of the view. */
    private final FleetBounds bounds;

    /** The load changes that the last report does not cover. */
    private final LoadJournal journal;

    /** The configuration of the engine. */
    private EngineSpec spec;

    /** The last accepted report, null before the first. */
    private LoadReport report;

    /** The time at which the last accepted report was measured. */
    private long measuredNanos;

    /** The newest incarnation that was seen. */
    private long incarnation = UNKNOWN_INCARNATION;

    /** The number of restarts that were seen. */
    private int restarts;

    /** Whether the newest incarnation is leaving. */
    private boolean leaving;

    /** Whether the engine is missing in an instance list that showed it before. */
    private boolean missing;

    /** Whether an instance list showed the engine. */
    private boolean listed;

    /** Whether a change was ordered that no later report shows as done. */
    private boolean changeOrdered;

    /** The time of the last ordered change. */
    private long changeOrderedNanos;

    /** The consecutive failures. */
    private int failures;

    /** The time from which an unreachable engine may be tried. */
    private long probeNanos;

    /** Creates an instance from its parts. */
    private EngineState(String name, EngineSpec spec, FleetBounds bounds) {
        this.name = name;
        this.spec = spec;
        this.bounds = bounds;
        this.journal = LoadJournal.create(bounds.maxChangesPerEngine());
    }

    /** Returns the state of an engine of which nothing is known but its configuration. */
    static EngineState create(String name, EngineSpec spec, FleetBounds bounds) {
        return new EngineState(name, spec, bounds);
    }

    /** Returns the engine's name. */
    String name() {
        return name;
    }

    /** Returns the engine's configuration. */
    synchronized EngineSpec spec() {
        return spec;
    }

    /** Returns the newest incarnation that was seen, zero for none. */
    synchronized long incarnation() {
        return incarnation == UNKNOWN_INCARNATION ? 0 : incarnation;
    }

    /** Returns the present role. */
    synchronized EngineRole role() {
        return report == null ? spec.initialRole() : report.role();
    }

    /** Takes over a new configuration. */
    synchronized void configure(EngineSpec newSpec) {
        spec = newSpec;
    }

    /** Takes over a report unless a newer one is known. */
    synchronized ReportEffect onReport(LoadReport newReport, long nowNanos) {
        if (newReport.incarnation() < incarnation || (report != null && !newReport.newerThan(report))) {
            return ReportEffect.IGNORED;
        }
        EngineRole before = role();
        boolean restarted = sawIncarnation(newReport.incarnation());
        report = newReport;
        measuredNanos = nowNanos - newReport.ageMillis() * NANOS_PER_MILLI;
        journal.coveredUntil(measuredNanos - bounds.reportMarginMillis() * NANOS_PER_MILLI);
        leaving |= newReport.leaving();
        missing = false;
        if (changeOrdered && measuredNanos - changeOrderedNanos > 0 && !newReport.changing()) {
            changeOrdered = false;
        }
        if (restarted) {
            return ReportEffect.RESTARTED;
        }
        return before == newReport.role() ? ReportEffect.LOAD_CHANGED : ReportEffect.ROLE_CHANGED;
    }

    /** Takes over the engine's entry in the instance list and returns whether the engine was restarted. */
    synchronized boolean onListed(InstanceListEntry entry) {
        listed = true;
        missing = false;
        if (entry.incarnation() < incarnation) {
            return false;
        }
        boolean restarted = sawIncarnation(entry.incarnation());
        leaving |= entry.leaving();
        return restarted;
    }

    /** Notes that an instance list does not show the engine. */
    synchronized void onNotListed() {
        missing = listed;
    }

    /** Marks the given incarnation as leaving. */
    synchronized void onLeaving(long leavingIncarnation) {
        if (leavingIncarnation >= incarnation) {
            sawIncarnation(leavingIncarnation);
            leaving = true;
        }
    }

    /** Marks the present incarnation as leaving. */
    synchronized void onLeaving() {
        leaving = true;
    }

    /** Marks the engine as changing until a later report shows the change as done. */
    synchronized void onChangeOrdered(long nowNanos) {
        changeOrdered = true;
        changeOrderedNanos = nowNanos;
    }

    /** Adds a load change that no report covers yet. */
    synchronized void onLoadChange(LoadChange change, long atNanos) {
        journal.add(change, atNanos);
    }

    /** Adds a load change of a request that was sent after the given number of restarts. */
    synchronized void onLoadChange(LoadChange change, long atNanos, int sentAfterRestarts) {
        if (sentAfterRestarts == restarts) {
            journal.add(change, atNanos);
        }
    }

    /** Returns the number of restarts that were seen. */
    synchronized int restarts() {
        return restarts;
    }

    /** Notes that a request was sent, which is the probe when the engine counts as unreachable. */
    synchronized void onAttempt(long nowNanos) {
        if (suspected()) {
            probeNanos = nowNanos + probeMillis() * NANOS_PER_MILLI;
        }
    }

    /** Notes that the engine answered a request. */
    synchronized void onSuccess() {
        failures = 0;
    }

    /** Notes that the engine failed a request. */
    synchronized void onFailure(long nowNanos) {
        failures++;
        if (suspected()) {
            probeNanos = nowNanos + probeMillis() * NANOS_PER_MILLI;
        }
    }

    /** Returns whether the state still holds load changes that no report covers. */
    synchronized boolean busy() {
        return journal.size() > 0;
    }

    /** Returns the last report with its age at the given time, null before the first. */
    synchronized LoadReport agedReport(long nowNanos) {
        if (report == null) {
            return null;
        }
        EngineView view = view(nowNanos, false);
        return new LoadReport(
                name,
                incarnation,
                report.sequence(),
                report.role(),
                leaving,
                report.changing() || changeOrdered,
                view.runningStreams(),
                view.queuedPrefillTokens(),
                view.usedKvTokens(),
                view.reportAgeMillis());
    }

    /** Returns what is known at the given time. */
    synchronized EngineView view(long nowNanos, boolean cacheDoubtful) {
        LoadChange change = journal.sum();
        int streams = change.streams();
        long prefillTokens = change.prefillTokens();
        long kvTokens = change.kvTokens();
        if (report != null) {
            streams += report.runningStreams();
            prefillTokens += report.queuedPrefillTokens();
            kvTokens += report.usedKvTokens();
        }
        return new EngineView(
                name,
                spec,
                role(),
                condition(nowNanos),
                Math.max(0, streams),
                Math.max(0, prefillTokens),
                Math.max(0, kvTokens),
                reportAgeMillis(nowNanos),
                cacheDoubtful);
    }

    /** Takes over the incarnation and returns whether the engine was started anew since it was last seen. */
    private boolean sawIncarnation(long newIncarnation) {
        if (newIncarnation <= incarnation) {
            return false;
        }
        boolean restarted = incarnation != UNKNOWN_INCARNATION;
        incarnation = newIncarnation;
        if (restarted) {
            leaving = false;
            changeOrdered = false;
            restarts++;
            failures = 0;
            report = null;
            journal.clear();
        }
        return restarted;
    }

    /** Returns whether the engine may be given work. */
    private EngineCondition condition(long nowNanos) {
        if (leaving) {
            return EngineCondition.LEAVING;
        }
        if (changeOrdered || (report != null && report.changing())) {
            return EngineCondition.CHANGING;
        }
        if (suspected() && nowNanos - probeNanos < 0) {
            return EngineCondition.UNREACHABLE;
        }
        if (missing && reportAgeMillis(nowNanos) > bounds.staleMillis()) {
            return EngineCondition.UNREACHABLE;
        }
        return EngineCondition.READY;
    }

    /** Returns whether the engine failed often enough to be tried with single requests only. */
    private boolean suspected() {
        return failures >= bounds.failuresUntilUnreachable();
    }

    /** Returns the time between probes, which doubles with each failed probe. */
    private long probeMillis() {
        int failedProbes = Math.min(Integer.SIZE - 2, failures - bounds.failuresUntilUnreachable());
        return bounds.probeMillis() * Math.min(MAX_PROBE_FACTOR, 1 << Math.max(0, failedProbes));
    }

    /** Returns the age of the last report, the largest number before the first. */
    private long reportAgeMillis(long nowNanos) {
        if (report == null) {
            return Long.MAX_VALUE;
        }
        return Math.max(0, (nowNanos - measuredNanos) / NANOS_PER_MILLI);
    }

    /** What a report changed. */
    enum ReportEffect {
        /** Nothing, a newer report was known. */
        IGNORED,
        /** The load. */
        LOAD_CHANGED,
        /** The load and the role. */
        ROLE_CHANGED,
        /** All, the engine was started anew. */
        RESTARTED
    }
}
