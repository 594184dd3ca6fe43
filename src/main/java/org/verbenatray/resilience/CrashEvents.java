package org.verbenatray.resilience;

import org.verbenatray.telemetry.Event;

/** The log lines about crashes. */
public final class CrashEvents {
    private CrashEvents() {}

    /**
     * Returns a line about a crash that a ledger holds: under which request or part of prompts which server ended, how
     * many ends are known there, and for a part what speaks for or against it.
     */
    public static Event describe(String name, Crash crash, CrashLedger ledger) {
        Event event = Event.named(name)
                .with("fingerprint", crash.suspect())
                .with("backend", crash.boot())
                .with("crashes", ledger.crashCount(crash.suspect()));
        ledger.evidence(crash.suspect()).ifPresent(evidence -> addEvidence(event, evidence));
        return event;
    }

    private static void addEvidence(Event event, PartEvidence evidence) {
        event.with("completed_without", evidence.completedWithout())
                .with("established_without", evidence.establishedWithout())
                .with("established", evidence.established())
                .with("succeeded_before", evidence.succeededBefore());
    }
}
