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

    /** Records that a run that generates went on after its beginning. */
    void recordEstablished() {
        ledger.recordEstablished(partKeys);
    }

    /**
     * Records that a run was lost.
     *
     * @param boot the boot of the server
     * @param partsAtRisk whether a part of the prompt may have ended the server: parts do so as it begins to generate
     */
    void recordLost(String boot, boolean partsAtRisk) {
        runs.recordLost(fingerprint, boot);
        partsIf(partsAtRisk).forEach(part -> runs.recordLost(part, boot));
    }

    /**
     * Records that a run ended with its connection; parameters as for {@link #recordLost}.
     *
     * @param success whether it counts as a success once the server is found to live
     */
    void recordUnproved(String boot, boolean partsAtRisk, boolean success) {
        runs.recordUnproved(fingerprint, boot, success ? this::recordSuccess : () -> {});
        partsIf(partsAtRisk).forEach(part -> runs.recordUnproved(part, boot, () -> {}));
    }

    /**
     * Records that a run which may have been taken for lost was completed.
     *
     * @param boot the boot of the server
     * @param generated whether the server generated, so that the parts of the prompt were at risk
     */
    void recordCompleted(String boot, boolean generated) {
        runs.recordCompleted(fingerprint, boot);
        partsIf(generated).forEach(part -> runs.recordCompleted(part, boot));
    }

    private List<String> partsIf(boolean counted) {
        return counted ? partKeys : List.of();
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
