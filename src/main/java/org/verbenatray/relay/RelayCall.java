package org.verbenatray.relay;

import io.undertow.util.HeaderMap;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.catalog.Route;
import org.verbenatray.relay.CallerResponse.DisconnectCause;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/**
 * One request from receipt to final response: its deadline, its attempts, its retry rules and its log line. Used on one
 * thread.
 */
final class RelayCall {
    /** Attempts allowed beyond the route's maximum while servers report that they did not run the request. */
    private static final int MAX_EXTRA_ATTEMPTS = 2;

    /**
     * Statuses that callers read as "the request has not run". A server's response with such a status is not relayed,
     * since a server that did not run the request says so in a header of its own.
     */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private static final Logger log = System.getLogger(RelayCall.class.getName());

    private final RelayContext context;
    private final RelayRequest request;
    private final Route route;
    private final long catalogVersion;
    private final String service;
    private final Deadline deadline;
    private final CallerResponse response;

    /** Identifies the request in all its repeats. */
    private final String fingerprint;

    private final double millisSinceFirstAttempt;

    /** Notified once, of how the request has ended. */
    private final Consumer<RequestEnd> onFinished;

    /** Attempts and further fields, for the log line of the final response. */
    private final StringBuilder logFields = new StringBuilder();

    /** Attempts that a server received or may have received. */
    private int deliveries;

    /** Attempts in which the request may have run. */
    private int possibleRuns;

    /** Whether a retry was spent from the budget that has not been sent. */
    private boolean retryReserved;

    /** Whether a retry was refused because the budget was exhausted. */
    private boolean budgetExhausted;

    /** How the last attempt ended, null before that. */
    private ForwardOutcome.Kind lastOutcome;

    /** When the first byte of the response was relayed, in nanoseconds of the ticker; zero before that. */
    private long firstByteNanos;

    private boolean finished;

    /** Creates a call. */
    RelayCall(
            RelayContext context,
            RelayRequest request,
            Route route,
            long catalogVersion,
            Deadline deadline,
            CallerResponse response,
            Consumer<RequestEnd> onFinished) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.catalogVersion = catalogVersion;
        this.service = route.serviceFor(request.id().hashCode());
        this.deadline = deadline;
        this.response = response;
        this.fingerprint = request.fingerprint();
        this.millisSinceFirstAttempt = request.deadline()
                .map(callerDeadline -> context.firstAttempts()
                        .recordAndEstimateMillis(route.name(), callerDeadline.remainingMillis(request.receivedNanos())))
                .orElse(0.0);
        this.onFinished = onFinished;
    }

    /** Returns the request. */
    RelayRequest request() {
        return request;
    }

    /** Returns the fingerprint of the request, which its repeats share. */
    String fingerprint() {
        return fingerprint;
    }

    /** Returns the route. */
    Route route() {
        return route;
    }

    /** Returns the name of the service that serves the request. */
    String service() {
        return service;
    }

    /** Returns the response to the caller. */
    CallerResponse response() {
        return response;
    }

    /** Returns when the final response is due. */
    Deadline deadline() {
        return deadline;
    }

    /** Returns the time until the deadline in milliseconds. */
    long remainingMillis() {
        return deadline.remainingMillis(context.ticker().nanos());
    }

    /**
     * Returns the time left in milliseconds for the first event: until the caller gives up waiting for it, or until the
     * deadline.
     */
    long remainingFirstEventMillis() {
        return Math.min(remainingMillis(), route.estimatedCallerTimeoutMillis() - elapsedMillis());
    }

    /** Returns the time from receipt in milliseconds after which the caller gives up if it has received no event. */
    long firstEventTimeoutMillis() {
        return Math.min(remainingMillis() + elapsedMillis(), route.estimatedCallerTimeoutMillis());
    }

    /**
     * Returns the estimated time in milliseconds between the caller's first attempt and this one; zero for a first
     * attempt.
     */
    double millisSinceFirstAttempt() {
        return millisSinceFirstAttempt;
    }

    /** Returns the time since the receipt of the request in milliseconds. */
    long elapsedMillis() {
        return (context.ticker().nanos() - request.receivedNanos()) / 1_000_000;
    }

    /**
     * Sends the request to the server named in the options. Returns the attempt, or empty if the request must not be
     * sent any more because it crashes servers. Every sending of a caller's request passes here.
     */
    Optional<ForwardAttempt> send(
            ForwardOptions options, PrefillWork work, ResponseTimeouts timeouts, ForwardListener listener) {
        return crashesServers()
                ? Optional.empty()
                : Optional.of(ForwardAttempt.send(context, this, options, work, timeouts, listener));
    }

    /** Returns whether the request has crashed so many servers that it must not be sent to another. */
    boolean crashesServers() {
        return context.crashLedger().blockedUntil(fingerprint).isPresent();
    }

    /** Gives up because the request crashes servers. */
    void giveUpCrashing() {
        long now = context.ticker().nanos();
        long blockedMillis = context.crashLedger()
                .blockedUntil(fingerprint)
                .map(end -> end.remainingMillis(now))
                .orElse(0L);
        giveUp("crashes_servers", blockedMillis);
    }

    /** Returns the servers of the service that accept requests. */
    List<Backend> usableBackends() {
        return context.directory().usable(service);
    }

    /** Returns whether the final response is complete or given up. */
    boolean finished() {
        return finished;
    }

    /** Returns whether the request may have run. */
    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /**
     * Returns whether the request may be sent to another server. Spends a retry from the budget if an earlier attempt
     * may have reached a server.
     */
    boolean tryReserveRetry() {
        return attemptsLeft() && (deliveries == 0 || trySpendRetry());
    }

    /** Returns whether the attempts of the route allow another server after the outcome of the last attempt. */
    boolean attemptsLeft() {
        return attemptsLeftAfter(0);
    }

    /** Returns whether the attempts of the route allow another server if the running attempt fails. */
    boolean attemptsLeftAfterCurrent() {
        return attemptsLeftAfter(1);
    }

    private boolean attemptsLeftAfter(int furtherRuns) {
        return (route.repeatable() || possibleRuns + furtherRuns == 0)
                && possibleRuns + furtherRuns < route.maxAttempts()
                && deliveries + furtherRuns < route.maxAttempts() + MAX_EXTRA_ATTEMPTS;
    }

    /**
     * Spends a retry from the budget of the service ahead of its sending and returns true, or returns false if the
     * budget is exhausted.
     */
    boolean reserveRetry() {
        retryReserved = trySpendRetry();
        return retryReserved;
    }

    /**
     * Uses the reserved retry or spends one from the budget of the service and returns true, or returns false if the
     * budget is exhausted.
     */
    boolean trySpendRetry() {
        if (retryReserved) {
            retryReserved = false;
            return true;
        }
        boolean spent = context.retryBudgets().apply(service).trySpend();
        if (!spent && !budgetExhausted) {
            budgetExhausted = true;
            logFields.append(" budget=spent");
        }
        return spent;
    }

    /** Keeps the retry that was spent for a sending that did not take place. */
    void keepRetry() {
        retryReserved = deliveries > 0;
    }

    /** Returns the timeouts of an attempt: the silence of a server matters only if the request can be moved. */
    ResponseTimeouts responseTimeouts() {
        if (!route.repeatable()) {
            return ResponseTimeouts.deadlineOnly(deadline);
        }
        long silenceMillis = SilenceTimeout.millis(route, remainingMillis());
        return ResponseTimeouts.withSilence(context.ticker().nanos(), silenceMillis, deadline);
    }

    /** Records the outcome of an attempt, for the retry rules and for the health of the server. */
    void recordOutcome(ForwardAttempt attempt, ForwardOutcome outcome, boolean countsAsRun) {
        lastOutcome = outcome.kind();
        recordServerOutcome(attempt.backend(), outcome);
        if (outcome.kind() == ForwardOutcome.Kind.NOT_SENT) {
            return;
        }
        deliveries++;
        if (countsAsRun && outcome.kind() != ForwardOutcome.Kind.NOT_RUN) {
            possibleRuns++;
        }
        if (countsAsRun && outcome.isSuccess()) {
            context.crashLedger().recordSuccess(fingerprint);
        }
    }

    /** Adds a field to the log line of the final response. */
    void addLogField(String key, Object value) {
        logFields.append(' ').append(key).append('=').append(value);
    }

    /** Relays a complete response of a server to the caller. */
    void relayResponse(ForwardOutcome outcome) {
        ServerResponseHead head = outcome.head().orElseThrow();
        if (NOT_RUN_STATUSES.contains(head.status())) {
            giveUp("unproved_refusal", 0);
            return;
        }
        recordFirstByte();
        response.send(head.status(), withConnectionHeader(head.headers()), outcome.body());
        finish(RequestEnd.ANSWERED, "answered", head.status());
    }

    /** Relays the next event of a stream to the caller. */
    void relayEvent(ServerResponseHead head, StreamEvent event) {
        if (!response.started()) {
            recordFirstByte();
            response.startStream(head.status(), withConnectionHeader(head.headers()));
        }
        response.write(event.bytes());
    }

    /** Ends the stream to the caller as complete. */
    void endStream(ServerResponseHead head) {
        if (!response.started()) {
            response.startStream(head.status(), withConnectionHeader(head.headers()));
        }
        response.endStream();
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
        boolean deadlinePassed = deadline.hasPassed(context.ticker().nanos());
        if (response.started()) {
            response.abort();
            finish(cutEnd(deadlinePassed), outcome, 0);
        } else if (possibleRuns > 0) {
            sendOwnResponse(deadlinePassed ? 504 : 502, outcome, Optional.empty());
        } else {
            sendOwnResponse(503, outcome, Optional.of(retryAfterMillis));
        }
    }

    /** Returns how a response that had begun and was cut has ended. */
    private RequestEnd cutEnd(boolean deadlinePassed) {
        if (deadlinePassed) {
            return RequestEnd.CUT_AT_DEADLINE;
        }
        return lastOutcome == ForwardOutcome.Kind.SILENT ? RequestEnd.CUT_BY_INSTANCE : RequestEnd.CUT_BY_SERVER;
    }

    /** Finishes the call after its connection to the caller has ended. */
    void callerDisconnected(DisconnectCause cause) {
        if (cause == DisconnectCause.BACKLOG_FULL) {
            finish(RequestEnd.CUT_BY_INSTANCE, "backlog_full", 0);
            return;
        }
        finish(RequestEnd.CALLER_LEFT, "caller_left", 0);
    }

    /** Records that the request may have run in an attempt without an outcome. */
    void recordPossibleRun() {
        deliveries++;
        possibleRuns++;
    }

    /** Sends a response produced by this instance. */
    private void sendOwnResponse(int status, String outcome, Optional<Long> retryAfterMillis) {
        response.send(
                status, ownResponseHeaders(retryAfterMillis), (outcome + "\n").getBytes(StandardCharsets.US_ASCII));
        finish(RequestEnd.REFUSED, outcome, status);
    }

    /** Returns the headers of a response produced by this instance. */
    private Map<String, String> ownResponseHeaders(Optional<Long> retryAfterMillis) {
        HeaderMap headers = new HeaderMap();
        context.dialect().addRequestId(headers, request.id());
        retryAfterMillis.ifPresent(millis -> context.dialect().addRetryAfter(headers, millis));
        Map<String, String> result = new HashMap<>();
        headers.forEach(values -> result.put(values.getHeaderName().toString(), values.getFirst()));
        return withConnectionHeader(result);
    }

    /** Adds {@code Connection: close} if the caller is better served by another instance. */
    private Map<String, String> withConnectionHeader(Map<String, String> headers) {
        if (!context.closingConnections().getAsBoolean()) {
            return headers;
        }
        Map<String, String> result = new HashMap<>(headers);
        result.put("Connection", "close");
        return result;
    }

    /** Records the time to first byte. */
    private void recordFirstByte() {
        firstByteNanos = context.ticker().nanos();
        context.metrics().recordFirstByte(route.kind().name(), (firstByteNanos - request.receivedNanos()) / 1e9);
    }

    /** Logs an outcome and updates the health of its server. */
    private void recordServerOutcome(Backend backend, ForwardOutcome outcome) {
        BackendEntry entry = backend.entry();
        logFields.append(' ').append(entry.id());
        if (!entry.softwareVersion().isEmpty()) {
            logFields.append('/').append(entry.softwareVersion());
        }
        logFields.append('=').append(outcome.kind());
        if (outcome.status() > 0) {
            logFields.append(':').append(outcome.status());
        }
        context.metrics().recordForward(service, outcome.kind().name());
        switch (outcome.kind()) {
            case NOT_SENT -> {
                backend.recordFailure(context.ticker().nanos());
                if (backend.entry().stage() != BackendStage.PLAIN) {
                    backend.markUnreachable();
                }
            }
            case SILENT, BROKEN -> {
                backend.recordFailure(context.ticker().nanos());
                context.crashProbe().probe(backend);
            }
            case NOT_RUN -> backend.recordRejection(context.ticker().nanos());
            default -> {
                if (outcome.status() >= 500) {
                    backend.recordErrorResponse();
                } else {
                    backend.recordSuccess();
                }
            }
        }
    }

    /** Finishes the call: writes its log line and its metrics, once. */
    private void finish(RequestEnd end, String outcome, int status) {
        if (finished) {
            return;
        }
        finished = true;
        long now = context.ticker().nanos();
        context.metrics().recordResponse(route.kind().name(), outcome, (now - request.receivedNanos()) / 1e9);
        Event event = Event.named("answer")
                .with("id", request.id())
                .with("route", route.name())
                .with("version", catalogVersion)
                .with("service", service)
                .with("outcome", outcome)
                .with("status", status)
                .with("end", end.label())
                .with("ms", (now - request.receivedNanos()) / 1_000_000);
        if (firstByteNanos > 0) {
            event.with("first_ms", (firstByteNanos - request.receivedNanos()) / 1_000_000);
        }
        request.continuedRequestId().ifPresent(first -> event.with("continues", first));
        request.lastEventId().ifPresent(last -> event.with("after_event", last));
        int crashes = context.crashLedger().crashCount(fingerprint);
        if (crashes > 0) {
            event.with("fingerprint", fingerprint).with("crashes", crashes);
        }
        event.with("left_ms", deadline.remainingMillis(now))
                .with("tried", logFields.toString().trim());
        event.log(log, Level.INFO);
        onFinished.accept(end);
    }
}
