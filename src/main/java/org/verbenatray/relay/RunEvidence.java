package org.verbenatray.relay;

import java.util.concurrent.TimeUnit;
import org.verbenatray.backends.Backend;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/**
 * Reports what one attempt shows about its server: that the run was lost, which may mean that the server has ended, or
 * that the server lives. Checks the server if it falls silent under a request that may crash it. Used on one thread.
 */
final class RunEvidence {
    /** Silence after which the server of an abandoned run is checked, longer than pauses between events. */
    private static final long SILENCE_MILLIS = 300;

    /** Time from the first event after which further ones show that the server did not end under the beginning. */
    private static final long ESTABLISHED_MILLIS = 500;

    /** Silence after which the server is checked during a run of a request that has crashed others. */
    private static final long SUSPECT_SILENCE_MILLIS = 1_000;

    private final RelayContext context;
    private final RelayCall call;
    private final Backend backend;

    /** Whether the server only does the prefill. */
    private final boolean prefillOnly;

    /** Whether the server may have received the request. */
    private boolean sent;

    /** When the run counts as established if it still brings events; null before its first event. */
    private Deadline establishedFrom;

    /** Whether the run was reported as established. */
    private boolean established;

    /** When the server is silent enough to be checked, counted from its last bytes. */
    private Deadline silentFrom;

    /** When the server of a suspect is checked, counted from its last bytes. */
    private Deadline suspectCheckDue;

    /** Timer of the check of a suspect's server, null for requests that have crashed none. */
    private XnioIoThread.Key timer;

    private RunEvidence(RelayContext context, RelayCall call, Backend backend, boolean prefillOnly) {
        this.context = context;
        this.call = call;
        this.backend = backend;
        this.prefillOnly = prefillOnly;
    }

    /** Starts to observe an attempt that is about to be sent to a server. */
    static RunEvidence start(RelayContext context, RelayCall call, ForwardOptions options) {
        RunEvidence evidence = new RunEvidence(context, call, options.backend(), options.prefillOnly());
        evidence.recordProgress();
        if (call.suspects().crashedBefore()) {
            evidence.scheduleCheck();
        }
        return evidence;
    }

    /** Records that the server may receive the request from now on. */
    void recordSending() {
        sent = true;
    }

    /** Records that bytes of the response have arrived. */
    void recordProgress() {
        long now = context.ticker().nanos();
        silentFrom = Deadline.afterMillis(now, SILENCE_MILLIS);
        suspectCheckDue = Deadline.afterMillis(now, SUSPECT_SILENCE_MILLIS);
    }

    /** Records that an event of the stream has arrived. */
    void recordEvent() {
        long now = context.ticker().nanos();
        if (establishedFrom == null) {
            establishedFrom = Deadline.afterMillis(now, ESTABLISHED_MILLIS);
        } else if (!established && establishedFrom.hasPassed(now)) {
            established = true;
            call.suspects().recordEstablished();
        }
    }

    /** Records that the run has ended without a complete response. */
    void recordLost() {
        if (sent) {
            call.suspects().recordLost(backend.entry().bootId(), partsAtRisk());
        }
    }

    /** Records that the run was cancelled before its response was complete; checks a server that was silent. */
    void recordAbandoned() {
        recordLost();
        if (sent && silentFrom.hasPassed(context.ticker().nanos())) {
            context.crashProbe().probe(backend);
        }
    }

    /** Records that the server has completed the response of a run. */
    void recordCompleted() {
        String boot = backend.entry().bootId();
        context.serverRuns().recordAlive(boot);
        call.suspects().recordCompleted(boot, !prefillOnly);
    }

    /**
     * Records a response of a run that ended with its connection, which shows nothing until the server is checked.
     *
     * @param success whether it is a success if the server lives
     */
    void recordUnproved(boolean success) {
        call.suspects().recordUnproved(backend.entry().bootId(), partsAtRisk(), success && !prefillOnly);
        context.crashProbe().probe(backend);
    }

    /** Records that the server has completed a response for which it generated nothing, such as a refusal. */
    void recordAlive() {
        context.serverRuns().recordAlive(backend.entry().bootId());
    }

    /** Ends the observation. */
    void close() {
        if (timer != null) {
            timer.remove();
        }
    }

    /** Returns whether a part of the prompt may end the server: one that does so ends it as it begins to generate. */
    private boolean partsAtRisk() {
        return !prefillOnly && !established;
    }

    private void scheduleCheck() {
        long waitMillis = suspectCheckDue.remainingMillis(context.ticker().nanos()) + 1;
        timer = context.thread().executeAfter(call.guard().wrap(this::check), waitMillis, TimeUnit.MILLISECONDS);
    }

    /** Checks the server if it is silent, without waiting for the deadline of the request. */
    private void check() {
        if (suspectCheckDue.hasPassed(context.ticker().nanos())) {
            probeSilentServer();
            suspectCheckDue = Deadline.afterMillis(context.ticker().nanos(), SUSPECT_SILENCE_MILLIS);
        }
        scheduleCheck();
    }

    private void probeSilentServer() {
        if (sent) {
            recordLost();
            context.crashProbe().probe(backend);
        }
    }
}
