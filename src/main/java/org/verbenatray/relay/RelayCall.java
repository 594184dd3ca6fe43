package org.verbenatray.relay;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.catalog.Customer;
import org.verbenatray.catalog.Route;
import org.verbenatray.relay.CallerResponse.DisconnectCause;
import org.verbenatray.scheduling.EnginePriority;
import org.verbenatray.time.Deadline;
import org.xnio.XnioIoThread;

/**
 * One request from receipt to final response: its deadline, its attempts, its retry rules and its log line. Used on one
 * thread.
 */
final class RelayCall {
    /** The outcome of a request that servers could serve if their limits admitted it. */
    static final String LIMITS_REACHED = "server_limits";

    /** Retry-after time while this instance stops; short, since the retry goes to another instance. */
    static final long STOPPING_RETRY_AFTER_MILLIS = 50;

    /**
     * Statuses that callers read as "the request has not run". A server's response with such a status is not relayed,
     * since a server that did not run the request says so in a header of its own.
     */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    /** The outcome of a request that would not end, or has not ended, before the instance does. */
    private static final String STOPPING = "instance_stopping";

    /** The outcome of a request whose handling fails with an exception. */
    private static final String FAILED = "internal_error";

    /** The outcome of a request whose caller has closed its connection. */
    private static final String CALLER_LEFT = "caller_left";

    /** Retry-after time of a request that has not run when its handling fails or its caller has left. */
    private static final long RETRY_AFTER_MILLIS = 500;

    private final RelayContext context;
    private final MatchedRequest matched;
    private final RelayRequest request;
    private final Route route;
    private final String service;
    private final CallTimes times;
    private final CallerResponse response;
    private final CallAnswer answer;

    /** Runs the tasks, timers and listeners of the call. */
    private final RequestGuard guard;

    private final CallSuspects suspects;

    private final CallServers servers;

    /** Notified once, of how the request has ended. */
    private final Consumer<RequestEnd> onFinished;

    private final CallRecord record;

    private final CallAttempts attempts;

    private final CallRetries retries;

    /** How the last attempt ended, null before that. */
    private ForwardOutcome.Kind lastOutcome;

    /** The attempt whose outcome is not recorded, null if none. */
    private RunningAttempt running;

    /** Whether a server is known to have begun to run the request. */
    private boolean begun;

    private boolean finished;

    /** Creates a call. */
    RelayCall(
            RelayContext context,
            MatchedRequest matched,
            CallerResponse response,
            RequestGuard guard,
            Consumer<RequestEnd> onFinished) {
        this.context = context;
        this.matched = matched;
        this.request = matched.request();
        this.route = matched.route();
        this.service = matched.service();
        this.times = CallTimes.of(context, matched);
        this.record = new CallRecord(context, matched);
        this.attempts = CallAttempts.create(route, () -> context.retryBudgets().apply(service));
        this.retries = CallRetries.of(context, this, attempts);
        this.response = response;
        this.answer = CallAnswer.of(request.id(), response, OwnResponseHeaders.of(context), record);
        this.guard = guard;
        this.suspects = CallSuspects.of(request, context);
        this.servers = CallServers.of(context, service);
        this.onFinished = onFinished;
        context.openCalls().add(this);
    }

    /** Returns the request. */
    RelayRequest request() {
        return request;
    }

    /** Returns what of the request may crash servers. */
    CallSuspects suspects() {
        return suspects;
    }

    /** Returns the route. */
    Route route() {
        return route;
    }

    /** Returns the priority, zero being the highest. */
    int priority() {
        return matched.priority();
    }

    /** Returns the name of the customer; empty where callers are not told apart. */
    Optional<String> customer() {
        return matched.customer().map(Customer::name);
    }

    /** Returns the priority of the prompt at engines. */
    int enginePriority(boolean deferred) {
        return EnginePriority.ofPrompt(priority(), deferred, times.millisSinceFirstAttempt() > 0);
    }

    /** Returns the name of the service that serves the request. */
    String service() {
        return service;
    }

    /** Returns the attempts and retries of the call. */
    CallAttempts attempts() {
        return attempts;
    }

    /** Returns what decides whether the request is sent again. */
    CallRetries retries() {
        return retries;
    }

    /** Returns the response to the caller. */
    CallerResponse response() {
        return response;
    }

    /** Returns the guard that runs the tasks, timers and listeners of the call. */
    RequestGuard guard() {
        return guard;
    }

    /** Returns the times of the call. */
    CallTimes times() {
        return times;
    }

    /**
     * Sends the request to the server named in the options. Returns the attempt, or empty if the request must not be
     * sent any more. Every sending of a caller's request passes here.
     */
    Optional<ForwardAttempt> send(
            ForwardOptions options, PrefillWork work, ResponseTimeouts timeouts, ForwardListener listener) {
        if (!maySend()) {
            return Optional.empty();
        }
        attempts.recordSending();
        context.limits().recordSending(options.backend().entry().bootId());
        ForwardAttempt attempt = ForwardAttempt.send(context, this, options, work, timeouts, guard.wrap(listener));
        running = attempt;
        return Optional.of(attempt);
    }

    /**
     * Returns whether the request may be sent: neither it nor a part of its prompt crashes servers, and it is expected
     * to end before this instance does.
     */
    boolean maySend() {
        return suspects.blockedUntil().isEmpty()
                && (!context.stop().isStopping()
                        || context.stop().leavesTimeFor(context.openCalls().expectedMillis(this)));
    }

    /** Gives up because the request must not be sent any more. */
    void giveUpUnsendable() {
        Optional<Deadline> blockedUntil = suspects.blockedUntil();
        if (blockedUntil.isPresent()) {
            giveUp(
                    "crashes_servers",
                    blockedUntil.get().remainingMillis(context.ticker().nanos()));
        } else {
            giveUp(STOPPING, STOPPING_RETRY_AFTER_MILLIS);
        }
    }

    /** Ends the call shortly before the instance ends: its caller learns whether the request may have run. */
    void endBeforeProcess() {
        cancelIfAllowed();
        giveUp(STOPPING, STOPPING_RETRY_AFTER_MILLIS);
    }

    /** Returns the servers of the service. */
    CallServers servers() {
        return servers;
    }

    /** Gives up because of the limits of the servers. */
    void giveUpAtLimits() {
        giveUp(LIMITS_REACHED, servers.retryAfterMillis());
    }

    /** Returns whether the final response is complete or given up. */
    boolean finished() {
        return finished;
    }

    /** Returns whether the request may have run, in an earlier attempt or in the running one. */
    boolean mayHaveRun() {
        return attempts.mayHaveRun() || running != null && running.sendingStarted() && !running.prefillOnly();
    }

    /**
     * Returns whether the caller can no longer be told that the request has not run, so that a further attempt is its
     * only good end.
     */
    boolean owed() {
        return response.started() || attempts.mayHaveRun();
    }

    /** Runs a step once the deadline has passed and what had arrived by then is read. */
    XnioIoThread.Key scheduleAtDeadline(Runnable step) {
        return context.transport()
                .silenceTimers()
                .schedule(context.thread(), guard.wrap(step), times.remainingMillis() + 1);
    }

    /** Returns the timeouts of an attempt: the silence of a server matters only if the request can be moved. */
    ResponseTimeouts responseTimeouts() {
        if (!route.repeatable()) {
            return ResponseTimeouts.deadlineOnly(times.deadline());
        }
        long silenceMillis = SilenceTimeout.millis(route, times.remainingMillis());
        return ResponseTimeouts.withSilence(context.ticker().nanos(), silenceMillis, times.deadline());
    }

    /** Records the outcome of an attempt, for the retry rules and for the health of the server. */
    void recordOutcome(ForwardAttempt attempt, ForwardOutcome outcome, boolean countsAsRun) {
        running = null;
        lastOutcome = outcome.kind();
        if (outcome.unsent()) {
            attempts.recordNotSent();
        } else {
            attempts.recordDelivery(countsAsRun && outcome.mayHaveRun());
        }
        record.addAttempt(service, attempt.backend().entry(), outcome);
        ServerHealth.record(context, attempt.backend(), outcome);
        if (countsAsRun && outcome.isSuccess() && outcome.proved()) {
            suspects.recordSuccess();
        }
    }

    /** Records, once, that a server has begun to run the request at the given time of the ticker. */
    void recordBegun(long nanos) {
        if (!begun) {
            begun = true;
            matched.customer().ifPresent(customer -> context.begunRequests().record(customer.name(), nanos));
        }
    }

    /** Records that bytes of the request are about to be written to a server or to another instance. */
    void recordSending() {
        record.addSending();
    }

    /** Records an attempt that is cancelled without an outcome. */
    void recordCancelled(RunningAttempt attempt) {
        record.addCancelled(service, attempt);
    }

    /** Adds a field to the log line of the final response. */
    void addLogField(String key, Object value) {
        record.add(key, value);
    }

    /** Returns whether another instance received the request from its caller, so that it is not forwarded again. */
    boolean forwarded() {
        return matched.forwarded();
    }

    /** Records the attempt that sends the request to another instance, null once it has ended. */
    void setRunning(RunningAttempt attempt) {
        running = attempt;
    }

    /** Relays a complete response of another instance, which is a server's response or a refusal of its own. */
    void relayForwarded(ServerResponseHead head, byte[] body) {
        answer.relay(head, body);
        finish(head.authentic() ? RequestEnd.ANSWERED : RequestEnd.REFUSED, "forwarded", head.status());
    }

    /** Relays a complete response of a server to the caller. */
    void relayResponse(ForwardOutcome outcome) {
        ServerResponseHead head = outcome.head().orElseThrow();
        if (NOT_RUN_STATUSES.contains(head.status())) {
            giveUp("unproved_refusal", 0);
            return;
        }
        answer.relay(head, outcome.body());
        finish(RequestEnd.ANSWERED, "answered", head.status());
    }

    /** Relays the next event of a stream to the caller. */
    void relayEvent(ServerResponseHead head, StreamEvent event) {
        answer.relayEvent(head, event);
    }

    /** Ends the stream to the caller as complete. */
    void endStream(ServerResponseHead head) {
        answer.endStream(head);
        finish(RequestEnd.ANSWERED, "answered", head.status());
    }

    /**
     * Gives up with the given outcome. Aborts a stream that has started; otherwise responds with 503 if the request has
     * not run, and with 502, or 504 after the deadline, if it may have run.
     */
    void giveUp(String outcome, long retryAfterMillis) {
        if (finished) {
            return;
        }
        boolean deadlinePassed = times.deadlinePassed();
        if (response.started()) {
            response.abort();
            finish(cutEnd(deadlinePassed), outcome, 0);
        } else if (mayHaveRun()) {
            sendOwnResponse(deadlinePassed ? 504 : 502, outcome, Optional.empty(), RequestEnd.REFUSED);
        } else {
            sendOwnResponse(503, outcome, Optional.of(retryAfterMillis), RequestEnd.REFUSED);
        }
    }

    /**
     * Gives up with the given outcome, unless servers may be out of reach of this instance only: a request that none
     * has received is then forwarded to an instance that reaches them.
     */
    void giveUpUnlessForwarded(String outcome, long retryAfterMillis) {
        if (context.reach().suspectsNewConnections() || servers.noneReachable()) {
            PeerRelay.startOrElse(context, this, () -> giveUp(outcome, retryAfterMillis));
        } else {
            giveUp(outcome, retryAfterMillis);
        }
    }

    /**
     * Ends the call after an exception in one of its steps: with 503 if the request has not run, with 502 if it may
     * have run, or by closing the connection of a response that has begun.
     */
    void fail() {
        if (finished) {
            return;
        }
        cancelIfAllowed();
        if (response.started() || response.closed()) {
            cutFailed();
            return;
        }
        try {
            giveUp(FAILED, RETRY_AFTER_MILLIS);
        } catch (RuntimeException e) {
            cutFailed();
            throw e;
        }
    }

    /** Cancels the running attempt, unless its request was sent and may run only once. */
    private void cancelIfAllowed() {
        if (running != null && (route.repeatable() || !running.sendingStarted())) {
            running.cancel();
        }
    }

    /** Closes the connection of a response that cannot be completed. */
    private void cutFailed() {
        response.abort();
        finish(RequestEnd.CUT_BY_INSTANCE, FAILED, 0);
    }

    /** Returns how a response that had begun and was cut has ended. */
    private RequestEnd cutEnd(boolean deadlinePassed) {
        if (deadlinePassed) {
            return RequestEnd.CUT_AT_DEADLINE;
        }
        return lastOutcome == ForwardOutcome.Kind.BROKEN ? RequestEnd.CUT_BY_SERVER : RequestEnd.CUT_BY_INSTANCE;
    }

    /**
     * Finishes the call, whose work has been stopped, after its connection to the caller has ended. A caller that may
     * have closed only the sending half of its connection is sent a refusal.
     */
    void callerDisconnected(DisconnectCause cause) {
        switch (cause) {
            case PIPELINED_TOO_MUCH -> finish(RequestEnd.CUT_BY_INSTANCE, "pipelined_too_much", 0);
            case BACKLOG_FULL -> finish(RequestEnd.CUT_BY_INSTANCE, "backlog_full", 0);
            case CONNECTION_BROKEN -> finish(RequestEnd.CALLER_LEFT, CALLER_LEFT, 0);
            case CALLER_CLOSED -> refuseLeft();
        }
    }

    /** Refuses a request whose caller has closed its connection or the sending half of it; cuts a begun response. */
    private void refuseLeft() {
        if (finished) {
            return;
        }
        if (response.started()) {
            response.abort();
            finish(RequestEnd.CALLER_LEFT, CALLER_LEFT, 0);
        } else if (mayHaveRun()) {
            sendOwnResponse(502, CALLER_LEFT, Optional.empty(), RequestEnd.CALLER_LEFT);
        } else {
            sendOwnResponse(503, CALLER_LEFT, Optional.of(RETRY_AFTER_MILLIS), RequestEnd.CALLER_LEFT);
        }
    }

    /** Records that the request may have run in an attempt without an outcome. */
    void recordPossibleRun() {
        attempts.recordDelivery(true);
    }

    /** Sends a response produced by this instance. */
    private void sendOwnResponse(int status, String outcome, Optional<Long> retryAfterMillis, RequestEnd end) {
        answer.sendOwn(status, outcome, retryAfterMillis);
        finish(end, outcome, status);
    }

    /** Finishes the call: writes its log line and its metrics, once. */
    private void finish(RequestEnd end, String outcome, int status) {
        if (finished) {
            return;
        }
        finished = true;
        attempts.releaseRetry();
        context.openCalls().remove(this, end == RequestEnd.ANSWERED);
        onFinished.accept(end);
        record.write(end, outcome, status, suspects, attempts.exhausted());
    }
}
