package org.verbenatray.resilience;

import org.verbenatray.telemetry.Event;

/** The log lines about crashes. */
public final class CrashEvents {
    private CrashEvents() {}

    /** Returns a line about a crash that a ledger holds: under which suspect which server ended. */
    public static Event describe(String name, Crash crash, CrashLedger ledger) {
        return describe(name, crash.suspect(), ledger).with("backend", crash.boot());
    }

    /**
     * Returns a line about what a ledger holds of a request or part of prompts: how many servers ended under it, and
     * for a part what speaks for or against it.
     */
    static Event describe(String name, String suspect, CrashLedger ledger) {
        Event event = Event.named(name).with("fingerprint", suspect).with("crashes", ledger.crashCount(suspect));
        ledger.evidence(suspect).ifPresent(evidence -> addEvidence(event, evidence));
        return event;
    }

    private static void addEvidence(Event event, PartEvidence evidence) {
        event.with("completed_without", evidence.completedWithout())
                .with("established_without", evidence.establishedWithout())
                .with("established", evidence.established())
                .with("succeeded_before", evidence.succeededBefore());
    }
}
