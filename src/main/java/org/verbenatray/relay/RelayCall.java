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
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.catalog.Route;
import org.verbenatray.resilience.RetryBudget;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/** One request from its receipt to its final answer, with all that was tried for it; used on one thread. */
final class RelayCall {
    /** The sendings after which a request is given up even where none of them ran, in addition to the route's. */
    private static final int MAX_REJECTED = 2;

    /** The statuses by which callers understand that a request has not run; no server is believed without saying so. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** The log. */
    private static final Logger log = System.getLogger(RelayCall.class.getName());

    /** What the relay works with. */
    private final RelayParts parts;

    /** The request. */
    private final RelayRequest request;

    /** The route that it took. */
    private final Route route;

    /** The version of the routes that it was handled under. */
    private final long catalogVersion;

    /** The service that runs it. */
    private final String service;

    /** When the final answer is due. */
    private final Deadline deadline;

    /** The answer. */
    private final CallerReply reply;

    /** The estimated time in milliseconds between the caller's first attempt and this one. */
    private final double firstAskedMillisAgo;

    /** What is done once at the end. */
    private final Runnable onOver;

    /** What was tried, for the log. */
    private final StringBuilder trail = new StringBuilder();

    /** The sendings that reached a server or may have. */
    private int arrivals;

    /** The servers on which the request may have run. */
    private int possibleRuns;

    /** When the first byte of the answer was passed on, zero before. */
    private long firstByteNanos;

    /** Whether the request has its final answer. */
    private boolean over;

    /** Creates a call. */
    RelayCall(
            RelayParts parts,
            RelayRequest request,
            Route route,
            long catalogVersion,
            Deadline deadline,
            CallerReply reply,
            Runnable onOver) {
        this.parts = parts;
        this.request = request;
        this.route = route;
        this.catalogVersion = catalogVersion;
        this.service = route.serviceFor(request.id().hashCode());
        this.deadline = deadline;
        this.reply = reply;
        this.firstAskedMillisAgo = request.deadline()
                .map(due -> parts.firstAsked().millisAgo(route.name(), due.remainingMillis(request.receivedNanos())))
                .orElse(0.0);
        this.onOver = onOver;
    }

    /** Returns the request. */
    RelayRequest request() {
        return request;
    }

    /** Returns the route. */
    Route route() {
        return route;
    }

    /** Returns the service. */
    String service() {
        return service;
    }

    /** Returns the answer. */
    CallerReply reply() {
        return reply;
    }

    /** Returns when the final answer is due. */
    Deadline deadline() {
        return deadline;
    }

    /** Returns the time left in milliseconds. */
    long remainingMillis() {
        return deadline.remainingMillis(parts.ticker().nanos());
    }

    /** Returns the time in milliseconds until the caller leaves where no event has come; at most the time left. */
    long firstEventDueMillis() {
        return Math.min(remainingMillis(), route.patienceMillis() - waitedMillis());
    }

    /** Returns the time in milliseconds from the receipt of the request until the caller leaves without an event. */
    long firstEventLimitMillis() {
        return Math.min(remainingMillis() + waitedMillis(), route.patienceMillis());
    }

    /** Returns the estimated time in milliseconds between the caller's first attempt and this one. */
    double firstAskedMillisAgo() {
        return firstAskedMillisAgo;
    }

    /** Returns the time since the receipt of the request in milliseconds. */
    long waitedMillis() {
        return (parts.ticker().nanos() - request.receivedNanos()) / 1_000_000;
    }

    /** Returns the servers of the service that take requests. */
    List<Backend> usable() {
        return parts.directory().usable(service);
    }

    /** Returns whether the request has its final answer. */
    boolean over() {
        return over;
    }

    /** Returns whether the request may have run. */
    boolean mayHaveRun() {
        return possibleRuns > 0;
    }

    /** Returns whether another server may be tried, and takes it from the retry budget where one was reached. */
    boolean mayTryAgain() {
        if (possibleRuns > 0 && !route.repeatable()) {
            return false;
        }
        if (possibleRuns >= route.maxAttempts() || arrivals >= route.maxAttempts() + MAX_REJECTED) {
            return false;
        }
        return arrivals == 0 || spendRetry();
    }

    /** Returns whether yet another server could be tried should the one that is sent to next fall silent. */
    boolean couldTryAgain() {
        return possibleRuns + 1 < route.maxAttempts()
                && arrivals + 1 < route.maxAttempts() + MAX_REJECTED
                && parts.budgets().apply(service).left() >= 1;
    }

    /** Takes a retry from the budget of the service. */
    boolean spendRetry() {
        RetryBudget budget = parts.budgets().apply(service);
        boolean spent = budget.spend();
        if (!spent) {
            trail.append(" budget=spent");
        }
        return spent;
    }

    /** Notes what became of a sending, and what it says of the server. */
    void tried(Forward forward, ForwardOutcome outcome, boolean countsAsRun) {
        note(forward.backend(), outcome);
        if (outcome.kind() == ForwardOutcome.Kind.NOT_SENT) {
            return;
        }
        arrivals++;
        if (countsAsRun && outcome.kind() != ForwardOutcome.Kind.NOT_RUN) {
            possibleRuns++;
        }
    }

    /** Adds a remark to the log line of the final answer. */
    void remark(String key, Object value) {
        trail.append(' ').append(key).append('=').append(value);
    }

    /** Passes a whole answer of a server on. */
    void answer(ForwardOutcome outcome) {
        ServerHead head = outcome.head().orElseThrow();
        if (PROMISES.contains(head.status())) {
            giveUp("unproved_refusal", 0);
            return;
        }
        firstByte();
        reply.whole(head.status(), withConnection(head.headers()), outcome.body());
        finish("answered", head.status());
    }

    /** Passes the next event of a stream on. */
    void event(ServerHead head, StreamEvent event) {
        if (!reply.begun()) {
            firstByte();
            reply.begin(head.status(), withConnection(head.headers()));
        }
        reply.write(event.bytes());
    }

    /** Ends a stream as complete. */
    void endStream(ServerHead head) {
        if (!reply.begun()) {
            reply.begin(head.status(), withConnection(head.headers()));
        }
        reply.end();
        finish("answered", head.status());
    }

    /** Gives up: tells truly whether the request may have run, or breaks a stream off that has begun. */
    void giveUp(String why, long comeBackMillis) {
        if (over) {
            return;
        }
        if (reply.begun()) {
            reply.breakOff();
            finish(why, 0);
        } else if (possibleRuns > 0) {
            own(deadline.passed(parts.ticker().nanos()) ? 504 : 502, why, Optional.empty());
        } else {
            own(503, why, Optional.of(comeBackMillis));
        }
    }

    /** Ends the call of a caller that has left. */
    void abandoned() {
        finish("caller_left", 0);
    }

    /** Notes that the request may have run without an outcome having come. */
    void assumeRun() {
        arrivals++;
        possibleRuns++;
    }

    /** Sends an answer of this instance. */
    private void own(int status, String why, Optional<Long> comeBackMillis) {
        reply.whole(status, ownHeaders(comeBackMillis), (why + "\n").getBytes(StandardCharsets.US_ASCII));
        finish(why, status);
    }

    /** Returns the headers of an answer of this instance. */
    private Map<String, String> ownHeaders(Optional<Long> comeBackMillis) {
        HeaderMap headers = new HeaderMap();
        parts.dialect().answerTo(headers, request.id());
        comeBackMillis.ifPresent(millis -> parts.dialect().comeBack(headers, millis));
        Map<String, String> result = new HashMap<>();
        headers.forEach(values -> result.put(values.getHeaderName().toString(), values.getFirst()));
        return withConnection(result);
    }

    /** Returns headers that tell the caller to close its connection where another instance serves it better. */
    private Map<String, String> withConnection(Map<String, String> headers) {
        if (!parts.turningAway().getAsBoolean()) {
            return headers;
        }
        Map<String, String> result = new HashMap<>(headers);
        result.put("Connection", "close");
        return result;
    }

    /** Notes the first byte of the answer. */
    private void firstByte() {
        firstByteNanos = parts.ticker().nanos();
        parts.metrics().firstByte(route.kind().name(), (firstByteNanos - request.receivedNanos()) / 1e9);
    }

    /** Notes what an outcome says of its server. */
    private void note(Backend backend, ForwardOutcome outcome) {
        trail.append(' ').append(backend.entry().id()).append('=').append(outcome.kind());
        if (outcome.status() > 0) {
            trail.append(':').append(outcome.status());
        }
        parts.metrics().forwarded(service, outcome.kind().name());
        switch (outcome.kind()) {
            case NOT_SENT -> {
                backend.failed(parts.ticker().nanos());
                if (backend.entry().stage() != BackendStage.PLAIN) {
                    backend.missed();
                }
            }
            case SILENT -> backend.failed(parts.ticker().nanos());
            case BROKEN -> {
                backend.failed(parts.ticker().nanos());
                parts.crashes().broke(request.fingerprint(), backend.entry().boot());
                parts.probe().look(backend);
            }
            case NOT_RUN -> backend.refused(parts.ticker().nanos());
            default -> {
                if (outcome.status() >= 500) {
                    backend.erred();
                } else {
                    backend.succeeded();
                }
            }
        }
    }

    /** Logs and counts the final answer. */
    private void finish(String outcome, int status) {
        if (over) {
            return;
        }
        over = true;
        long now = parts.ticker().nanos();
        parts.metrics().answered(route.kind().name(), outcome, (now - request.receivedNanos()) / 1e9);
        Event event = Event.named("answer")
                .with("id", request.id())
                .with("route", route.name())
                .with("version", catalogVersion)
                .with("service", service)
                .with("outcome", outcome)
                .with("status", status)
                .with("ms", (now - request.receivedNanos()) / 1_000_000);
        if (firstByteNanos > 0) {
            event.with("first_ms", (firstByteNanos - request.receivedNanos()) / 1_000_000);
        }
        event.with("left_ms", deadline.remainingMillis(now))
                .with("tried", trail.toString().trim());
        event.log(log, Level.INFO);
        onOver.run();
    }
}
