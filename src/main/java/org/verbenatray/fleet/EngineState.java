package org.verbenatray.fleet;

import org.verbenatray.configuration.EngineRole;
import org.verbenatray.configuration.FleetConfiguration.EngineSpec;

/**
 * The state of one engine as known to this instance, from load reports, the instance list, own dispatches and the
 * dispatches of peers. Thread-safe.
 */
final class EngineState {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The maximum factor of the probe back-off. */
    private static final int MAX_PROBE_FACTOR = 16;

    /** The incarnation of an engine from which nothing was received. */
    private static final long UNKNOWN_INCARNATION = Long.MIN_VALUE;

    private final String name;

    private final FleetBounds bounds;

    /** The load changes that the last report does not include. */
    private final LoadJournal journal;

    private EngineSpec spec;

    /** The last accepted report; null before the first and after a restart. */
    private LoadReport report;

    /** The monotonic time at which the last accepted report was measured. */
    private long measuredNanos;

    /** The newest known incarnation. */
    private long incarnation = UNKNOWN_INCARNATION;

    private int restarts;

    /** Whether the newest incarnation is leaving. */
    private boolean leaving;

    /** Whether the engine is missing in the latest instance list but was in an earlier one. */
    private boolean removedFromList;

    /** Whether any instance list has contained the engine. */
    private boolean listed;

    /** Whether a change was ordered that no later report shows as completed. */
    private boolean changeOrdered;

    private long changeOrderedNanos;

    /** The number of consecutive failures. */
    private int failures;

    /** The monotonic time from which a repeatedly failed engine may receive a single request as a probe. */
    private long nextProbeNanos;

    private EngineState(String name, EngineSpec spec, FleetBounds bounds) {
        this.name = name;
        this.spec = spec;
        this.bounds = bounds;
        this.journal = LoadJournal.create(bounds.maxChangesPerEngine());
    }

    /** Returns the state of an engine of which only the configuration is known. */
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

    /** Returns the newest known incarnation; zero if none is known. */
    synchronized long incarnation() {
        return incarnation == UNKNOWN_INCARNATION ? 0 : incarnation;
    }

    /** Returns the reported role, or the configured initial role before the first report. */
    synchronized EngineRole role() {
        return report == null ? spec.initialRole() : report.role();
    }

    /** Replaces the configuration of the engine. */
    synchronized void configure(EngineSpec newSpec) {
        spec = newSpec;
    }

    /** Applies a report unless a newer one is known, and returns its effect. */
    synchronized ReportEffect onReport(LoadReport newReport, long nowNanos) {
        if (newReport.incarnation() < incarnation || (report != null && !newReport.newerThan(report))) {
            return ReportEffect.IGNORED;
        }
        EngineRole previousRole = role();
        boolean restarted = updateIncarnation(newReport.incarnation());
        report = newReport;
        measuredNanos = nowNanos - newReport.ageMillis() * NANOS_PER_MILLI;
        journal.removeUntil(measuredNanos - bounds.reportMarginMillis() * NANOS_PER_MILLI);
        leaving |= newReport.leaving();
        removedFromList = false;
        if (changeOrdered && measuredNanos - changeOrderedNanos > 0 && !newReport.changing()) {
            changeOrdered = false;
        }
        if (restarted) {
            return ReportEffect.RESTARTED;
        }
        return previousRole == newReport.role() ? ReportEffect.LOAD_CHANGED : ReportEffect.ROLE_CHANGED;
    }

    /** Applies the engine's entry in the instance list and returns whether it shows a restart of the engine. */
    synchronized boolean onListed(ListedEngine entry) {
        listed = true;
        removedFromList = false;
        if (entry.incarnation() < incarnation) {
            return false;
        }
        boolean restarted = updateIncarnation(entry.incarnation());
        leaving |= entry.leaving();
        return restarted;
    }

    /** Records that the latest instance list does not contain the engine. */
    synchronized void onNotListed() {
        removedFromList = listed;
    }

    /** Marks the given incarnation as leaving. */
    synchronized void onLeaving(long leavingIncarnation) {
        if (leavingIncarnation >= incarnation) {
            updateIncarnation(leavingIncarnation);
            leaving = true;
        }
    }

    /** Marks the current incarnation as leaving. */
    synchronized void onLeaving() {
        leaving = true;
    }

    /** Marks the engine as changing until a later report shows the change as completed. */
    synchronized void onChangeOrdered(long nowNanos) {
        changeOrdered = true;
        changeOrderedNanos = nowNanos;
    }

    /** Adds a load change that no report includes yet. */
    synchronized void onLoadChange(LoadChange change, long atNanos) {
        journal.add(change, atNanos);
    }

    /** Adds a load change of a request, unless the engine was restarted since the request was sent. */
    synchronized void onLoadChange(LoadChange change, long atNanos, int restartsBefore) {
        if (restartsBefore == restarts) {
            journal.add(change, atNanos);
        }
    }

    /** Returns the number of observed restarts. */
    synchronized int restarts() {
        return restarts;
    }

    /** Records that a request was sent; for a repeatedly failed engine it is the probe. */
    synchronized void onRequestSent(long nowNanos) {
        if (hasFailedRepeatedly()) {
            nextProbeNanos = nowNanos + probeIntervalMillis() * NANOS_PER_MILLI;
        }
    }

    /** Records that the engine responded to a request, which resets the count of failures. */
    synchronized void onSuccess() {
        failures = 0;
    }

    /**
     * Records that the engine failed a request or did not respond, unless the engine was restarted since the request
     * was sent.
     */
    synchronized void onFailure(long nowNanos, int restartsBefore) {
        if (restartsBefore != restarts) {
            return;
        }
        failures++;
        if (hasFailedRepeatedly()) {
            nextProbeNanos = nowNanos + probeIntervalMillis() * NANOS_PER_MILLI;
        }
    }

    /** Returns whether the state holds load changes that no report includes yet. */
    synchronized boolean hasUnreportedChanges() {
        return journal.size() > 0;
    }

    /** Returns the last report with load and age brought up to the given time; null before the first report. */
    synchronized LoadReport currentReport(long nowNanos) {
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

    /** Returns an immutable view of the engine at the given time. */
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

    /** Stores a newer incarnation and returns whether it shows a restart, which resets load and failures. */
    private boolean updateIncarnation(long newIncarnation) {
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

    /** Returns whether the engine is available for new requests. */
    private EngineCondition condition(long nowNanos) {
        if (leaving) {
            return EngineCondition.LEAVING;
        }
        if (changeOrdered || (report != null && report.changing())) {
            return EngineCondition.CHANGING;
        }
        if (hasFailedRepeatedly() && nowNanos - nextProbeNanos < 0) {
            return EngineCondition.UNREACHABLE;
        }
        if (removedFromList && reportAgeMillis(nowNanos) > bounds.maxReportAgeMillis()) {
            return EngineCondition.UNREACHABLE;
        }
        return EngineCondition.READY;
    }

    /** Returns whether the engine failed so often in a row that it only receives probes. */
    private boolean hasFailedRepeatedly() {
        return failures >= bounds.failuresUntilUnreachable();
    }

    /** Returns the time until the next probe, which doubles with each failed probe. */
    private long probeIntervalMillis() {
        int failedProbes = Math.min(Integer.SIZE - 2, failures - bounds.failuresUntilUnreachable());
        return bounds.probeIntervalMillis() * Math.min(MAX_PROBE_FACTOR, 1 << Math.max(0, failedProbes));
    }

    /** Returns the age of the last report; {@code Long.MAX_VALUE} before the first. */
    private long reportAgeMillis(long nowNanos) {
        if (report == null) {
            return Long.MAX_VALUE;
        }
        return Math.max(0, (nowNanos - measuredNanos) / NANOS_PER_MILLI);
    }

    /** The effect of a load report. */
    enum ReportEffect {
        /** The report was ignored because a newer one is known. */
        IGNORED,
        /** Only the load changed. */
        LOAD_CHANGED,
        /** The load and the role changed. */
        ROLE_CHANGED,
        /** The engine was restarted and all its state was replaced. */
        RESTARTED
    }
}
