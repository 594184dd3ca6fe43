package org.verbenatray.relay;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.telemetry.Event;

/** Collects what the log line and the metrics of one call state. Used on one thread. */
final class CallRecord {
    private static final String CANCELLED = "CANCELLED";

    private static final String CANCELLED_UNSENT = "CANCELLED_UNSENT";

    private static final Logger log = System.getLogger(CallRecord.class.getName());

    private final RelayContext context;
    private final MatchedRequest matched;

    /** Attempts and further fields, for the log line of the final response. */
    private final StringBuilder fields = new StringBuilder();

    /** Why attempts have failed, in their order. */
    private final List<String> failures = new ArrayList<>();

    /** When the request was last sent, in nanoseconds of the ticker; zero before that. */
    private long lastSentNanos;

    /** When the first byte of the response was relayed, in nanoseconds of the ticker; zero before that. */
    private long firstByteNanos;

    CallRecord(RelayContext context, MatchedRequest matched) {
        this.context = context;
        this.matched = matched;
    }

    /** Adds a field to the log line. */
    void add(String key, Object value) {
        fields.append(' ').append(key).append('=').append(value);
    }

    /** Adds the outcome of an attempt at a server. */
    void addAttempt(String service, BackendEntry server, ForwardOutcome outcome) {
        add(nameOf(server), outcome.kind());
        if (outcome.status() > 0) {
            fields.append(':').append(outcome.status());
        }
        if (outcome.isFailure()) {
            failures.add(outcome.detail());
        }
        context.metrics().recordForward(service, outcome.kind().name());
    }

    /** Adds an attempt that was cancelled: whether its receiver may have the request. */
    void addCancelled(String service, RunningAttempt attempt) {
        String kind = attempt.sendingStarted() ? CANCELLED : CANCELLED_UNSENT;
        add(attempt.receiver(), kind);
        context.metrics().recordForward(service, kind);
    }

    /** Records that the request is sent now. */
    void addSending() {
        lastSentNanos = context.ticker().nanos();
    }

    /** Returns a server as the log names it. */
    static String nameOf(BackendEntry server) {
        return server.softwareVersion().isEmpty() ? server.id() : server.id() + "/" + server.softwareVersion();
    }

    /** Adds the time to the first byte of the response. */
    void addFirstByte() {
        firstByteNanos = context.ticker().nanos();
        context.metrics().recordFirstByte(matched.route().kind().name(), sinceReceiptNanos(firstByteNanos) / 1e9);
    }

    /** Writes the log line and the metrics of the final response. */
    void write(RequestEnd end, String outcome, int status, CallSuspects suspects, boolean budgetSpent) {
        long now = context.ticker().nanos();
        RelayRequest request = matched.request();
        context.metrics().recordResponse(matched.route().kind().name(), outcome, sinceReceiptNanos(now) / 1e9);
        Event event = Event.named("answer")
                .with("id", request.id())
                .with("route", matched.route().name())
                .with("version", matched.catalogVersion())
                .with("service", matched.service())
                .with("outcome", outcome)
                .with("status", status)
                .with("end", end.label())
                .with("ms", sinceReceiptNanos(now) / 1_000_000);
        if (lastSentNanos > 0) {
            event.with("sent_ms", sinceReceiptNanos(lastSentNanos) / 1_000_000);
        }
        if (firstByteNanos > 0) {
            event.with("first_ms", sinceReceiptNanos(firstByteNanos) / 1_000_000);
        }
        matched.customer().ifPresent(customer -> event.with("customer", customer.name()));
        request.continuedRequestId().ifPresent(first -> event.with("continues", first));
        request.lastEventId().ifPresent(last -> event.with("after_event", last));
        suspects.addTo(event);
        if (matched.forwarded()) {
            event.with("from", request.caller());
        }
        if (budgetSpent) {
            fields.append(" budget=spent");
        }
        if (!failures.isEmpty()) {
            event.with("failures", String.join("; ", failures));
        }
        event.with("left_ms", matched.deadline().remainingMillis(now))
                .with("tried", fields.toString().trim());
        event.log(log, Level.INFO);
    }

    private long sinceReceiptNanos(long nanos) {
        return nanos - matched.request().receivedNanos();
    }
}
