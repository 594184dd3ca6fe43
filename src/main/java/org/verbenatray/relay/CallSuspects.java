package org.verbenatray.relay;

import java.util.List;
import java.util.Optional;
import org.verbenatray.resilience.CrashLedger;
import org.verbenatray.resilience.ServerRuns;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/**
 * What of one request may crash the servers that run it: the request as such, and the parts of its prompt that other
 * requests share. Used on one thread.
 */
final class CallSuspects {
    private final RelayRequest request;

    /** Identifies the request in all its repeats. */
    private final String fingerprint;

    private final List<String> partKeys;
    private final CrashLedger ledger;
    private final ServerRuns runs;

    private CallSuspects(RelayRequest request, CrashLedger ledger, ServerRuns runs) {
        this.request = request;
        this.fingerprint = request.fingerprint();
        this.partKeys = request.partKeys();
        this.ledger = ledger;
        this.runs = runs;
    }

    /** Returns the suspects of a request. */
    static CallSuspects of(RelayRequest request, RelayContext context) {
        return new CallSuspects(request, context.crashLedger(), context.serverRuns());
    }

    /** Returns until when the request must not be sent because it has crashed servers; empty if it may be sent. */
    Optional<Deadline> blockedUntil() {
        return ledger.blockedUntil(fingerprint).or(() -> ledger.partsBlockedUntil(partKeys));
    }

    /** Returns whether a server has ended under the request. */
    boolean crashedBefore() {
        return ledger.crashCount(fingerprint) > 0;
    }

    /** Records that a server has run the request to its end, which clears it and the parts of its prompt. */
    void recordSuccess() {
        ledger.recordSuccess(fingerprint, partKeys);
    }

    /**
     * Records that a run was lost.
     *
     * @param boot the boot of the server
     * @param prefillOnly whether the server only did the prefill: parts crash servers that generate
     */
    void recordLost(String boot, boolean prefillOnly) {
        runs.recordLost(fingerprint, boot);
        partsAtRisk(prefillOnly).forEach(part -> runs.recordLost(part, boot));
    }

    /**
     * Records that a run ended with its connection; parameters as for {@link #recordLost}. If the server is found to
     * live, a success counts as one that is proved by the end of its response.
     */
    void recordUnproved(String boot, boolean prefillOnly, boolean success) {
        runs.recordUnproved(fingerprint, boot, success && !prefillOnly ? this::recordSuccess : () -> {});
        partsAtRisk(prefillOnly).forEach(part -> runs.recordUnproved(part, boot, () -> {}));
    }

    /** Records that a run which may have been taken for lost was completed; parameters as for {@link #recordLost}. */
    void recordCompleted(String boot, boolean prefillOnly) {
        runs.recordCompleted(fingerprint, boot);
        partsAtRisk(prefillOnly).forEach(part -> runs.recordCompleted(part, boot));
    }

    private List<String> partsAtRisk(boolean prefillOnly) {
        return prefillOnly ? List.of() : partKeys;
    }

    /** Adds what is known against the request to its log line. */
    void addTo(Event event) {
        int crashes = ledger.crashCount(fingerprint);
        if (crashes > 0) {
            event.with("fingerprint", fingerprint).with("crashes", crashes).with("caller", request.caller());
        }
        partKeys.stream()
                .filter(part -> ledger.partsBlockedUntil(List.of(part)).isPresent())
                .forEach(part -> event.with("crashing_part", part));
    }
}
