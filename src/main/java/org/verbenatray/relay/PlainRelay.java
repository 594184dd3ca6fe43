package org.verbenatray.relay;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.relay.CallerResponse.DisconnectCause;
import org.verbenatray.servers.ConnectionUse;
import org.xnio.XnioIoThread;

/**
 * Relays a request to a plain service. Requests of repeatable routes are retried at another server after a failure.
 * Used on one thread.
 */
final class PlainRelay implements ForwardListener {
    /** Retry-after time of rejected requests. */
    private static final long RETRY_AFTER_MILLIS = 300;

    private final RelayContext context;
    private final RelayCall call;
    private final TriedServers triedServers;
    private XnioIoThread.Key deadlineTimer;

    /** The running attempt, null if none. */
    private ForwardAttempt attempt;

    /** When the request was last sent to a server, in nanoseconds of the ticker. */
    private long sentNanos;

    /** A server error that is relayed if no other attempt succeeds, null if none. */
    private ForwardOutcome errorResponse;

    private PlainRelay(RelayContext context, RelayCall call) {
        this.context = context;
        this.call = call;
        this.triedServers = TriedServers.empty(context.ticker(), this::bestServerExcept);
    }

    /** Starts relaying a call. */
    static void start(RelayContext context, RelayCall call) {
        PlainRelay relay = new PlainRelay(context, call);
        call.response().onDisconnect(relay::callerDisconnected);
        relay.deadlineTimer = call.scheduleAtDeadline(relay::handleDeadline);
        relay.send();
    }

    @Override
    public boolean acceptsEvents() {
        return false;
    }

    @Override
    public void onEvent(ServerResponseHead head, StreamEvent event) {
        throw new IllegalStateException("the response of a plain service has no events");
    }

    @Override
    public boolean reserveMoveFromSilentServer() {
        return call.attempts().attemptsLeftAfterCurrent()
                && triedServers.otherAccepts(attempt.backend())
                && call.attempts().tryHoldRetry();
    }

    @Override
    public void onOutcome(ForwardOutcome outcome) {
        ForwardAttempt ended = attempt;
        attempt = null;
        call.recordOutcome(ended, outcome, true);
        if (call.finished()) {
            return;
        }
        if (outcome.mayHaveRun()) {
            call.recordBegun(sentNanos);
        }
        triedServers.add(ended.backend());
        switch (outcome.kind()) {
            case ANSWERED, STREAM_ENDED -> handleResponse(outcome);
            default -> retry(outcome);
        }
    }

    /** Relays a response, or retries after a server error on a repeatable route. */
    private void handleResponse(ForwardOutcome outcome) {
        boolean retryable = outcome.status() >= 500 && call.route().repeatable();
        if (retryable && call.retries().tryReserve()) {
            errorResponse = outcome;
            send();
            return;
        }
        relayResponse(outcome);
    }

    private void relayResponse(ForwardOutcome outcome) {
        deadlineTimer.remove();
        call.relayResponse(outcome);
    }

    /** Retries at another server, or gives up. */
    private void retry(ForwardOutcome outcome) {
        retryOrGiveUp(outcome.kind().name().toLowerCase(Locale.ROOT));
    }

    private void retryOrGiveUp(String outcome) {
        if (call.finished()) {
            return;
        }
        if (call.retries().tryReserve()) {
            send();
            return;
        }
        giveUp(outcome);
    }

    private Optional<Backend> bestServerExcept(List<Backend> excluded) {
        List<Backend> candidates = call.servers().usable().stream()
                .filter(backend -> backend.entry().stage() != BackendStage.PREFILL && !backend.unreachable())
                .toList();
        return context.chooser().choose(candidates, excluded, context.ticker().nanos());
    }

    /** Sends the request to the server that should get it next; looks again shortly if there is none at the moment. */
    private void send() {
        if (call.times().remainingMillis() <= 0) {
            handleDeadline();
            return;
        }
        Optional<Backend> chosen = triedServers.choose(call.owed() && errorResponse == null);
        if (chosen.isEmpty()) {
            boolean later = errorResponse == null && call.retries().continueLater(() -> retryOrGiveUp("no_server"));
            if (!later) {
                giveUpWithoutServer();
            }
            return;
        }
        boolean repeatable = call.route().repeatable();
        ForwardOptions options = new ForwardOptions(
                chosen.get(),
                call.times().remainingMillis(),
                call.priority(),
                false,
                Optional.empty(),
                Optional.empty(),
                call.request().lastEventId(),
                repeatable ? ConnectionUse.POOLED : ConnectionUse.CONFIRMED);
        sentNanos = context.ticker().nanos();
        attempt = call.send(options, PrefillWork.NONE, call.responseTimeouts(), this)
                .orElse(null);
        if (attempt == null) {
            deadlineTimer.remove();
            Optional.ofNullable(errorResponse).ifPresentOrElse(call::relayResponse, call::giveUpUnsendable);
        }
    }

    /** Gives up as there is no server, or none whose limit admits the request. */
    private void giveUpWithoutServer() {
        if (errorResponse == null && call.servers().limitsReached()) {
            deadlineTimer.remove();
            call.giveUpAtLimits();
        } else {
            giveUp(call.servers().noneReachable() ? "no_server_in_reach" : "no_server");
        }
    }

    /** Gives up; relays a server's error if there was one. */
    private void giveUp(String outcome) {
        deadlineTimer.remove();
        if (errorResponse != null) {
            call.relayResponse(errorResponse);
            return;
        }
        call.giveUpUnlessForwarded(outcome, RETRY_AFTER_MILLIS);
    }

    /** Gives up when the deadline has passed. */
    private void handleDeadline() {
        if (call.finished()) {
            return;
        }
        if (attempt != null && attempt.sendingStarted()) {
            call.recordPossibleRun();
            attempt.recordOverdue();
        }
        cancelAttempt();
        giveUp("timeout");
    }

    /**
     * Cancels the running attempt, if it may be cancelled, when the caller has disconnected. The answer of an attempt
     * that runs to its end anyway is still sent to a caller that may have closed only the sending half of its
     * connection.
     */
    private void callerDisconnected(DisconnectCause cause) {
        if (cause == DisconnectCause.CALLER_CLOSED && attempt != null && !mayCancel()) {
            return;
        }
        deadlineTimer.remove();
        cancelAttempt();
        call.callerDisconnected(cause);
    }

    /**
     * Cancels the running attempt, unless its request was sent and its route is not repeatable: that one runs to its
     * end.
     */
    private void cancelAttempt() {
        if (attempt != null && mayCancel()) {
            attempt.cancel();
            attempt = null;
        }
    }

    private boolean mayCancel() {
        return call.route().repeatable() || !attempt.sendingStarted();
    }
}
