package org.verbenatray.serving;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntConsumer;
import org.verbenatray.admission.Admission;
import org.verbenatray.admission.AdmissionController;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.admission.Expectation;
import org.verbenatray.admission.OutputEstimator;
import org.verbenatray.admission.RefusedTicket;
import org.verbenatray.admission.Release;
import org.verbenatray.admission.Ticket;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.time.Timing;

/** Admits requests by the {@link AdmissionController} and lets them wait in its queue. */
public final class QueuedAdmitter implements Admitter {
    /** The pause between two looks at the queue in milliseconds. */
    private static final long LOOK_MILLIS = 10;

    /** The part of the answers that the expected length covers. */
    private static final double LENGTH_QUANTILE = 0.9;

    /** Decides. */
    private final AdmissionController controller;

    /** Estimates the length of answers. */
    private final OutputEstimator lengths;

    /** Returns what the best route promises to a request, empty when no engine can take it now. */
    private final Function<AdmissionRequest, Optional<Expectation>> expectation;

    /** Receives every request that arrives. */
    private final Consumer<AdmissionRequest> arrivals;

    /** The sources of time. */
    private final Timing timing;

    /** The waiting requests by ticket. */
    private final Map<Ticket, Waiting> waiting = new ConcurrentHashMap<>();

    /** Creates an admitter. */
    private QueuedAdmitter(
            AdmissionController controller,
            OutputEstimator lengths,
            Function<AdmissionRequest, Optional<Expectation>> expectation,
            Consumer<AdmissionRequest> arrivals,
            Timing timing) {
        this.controller = controller;
        this.lengths = lengths;
        this.expectation = expectation;
        this.arrivals = arrivals;
        this.timing = timing;
    }

    /** Returns an admitter that looks at its queue after {@link #start()}. */
    public static QueuedAdmitter create(
            AdmissionController controller,
            OutputEstimator lengths,
            Function<AdmissionRequest, Optional<Expectation>> expectation,
            Consumer<AdmissionRequest> arrivals,
            Timing timing) {
        return new QueuedAdmitter(controller, lengths, expectation, arrivals, timing);
    }

    /** Looks at the queue now and again after each pause. */
    public void start() {
        releaseWaiting();
        timing.scheduler().runAt(timing.inMillis(LOOK_MILLIS), this::start);
    }

    @Override
    public Cancellation admit(CompletionRequest request, Consumer<IntConsumer> admitted, Consumer<Refusal> refused) {
        AdmissionRequest wanted = wanted(request);
        arrivals.accept(wanted);
        long now = timing.ticker().nanos();
        Admission admission = controller.admit(wanted, expectation.apply(wanted), now);
        if (admission instanceof Admission.Refused refusal) {
            refused.accept(Refusals.of(refusal.refusal()));
            return () -> {};
        }
        if (admission instanceof Admission.Admitted decided) {
            admitted.accept(closing(decided.ticket()));
            return () -> {};
        }
        Ticket ticket = ((Admission.Queued) admission).ticket();
        waiting.put(ticket, new Waiting(admitted, refused));
        return () -> cancel(ticket);
    }

    /** Returns the number of waiting requests. */
    public int waitingRequests() {
        return waiting.size();
    }

    /** Returns what admission has to know of a request. */
    private AdmissionRequest wanted(CompletionRequest request) {
        int output = lengths.estimate(request.customer(), request.model(), request.maxTokens(), LENGTH_QUANTILE);
        return new AdmissionRequest(
                request.customer(),
                request.model(),
                request.priority(),
                request.promptTokens(),
                output,
                request.deadline());
    }

    /** Returns what closes a ticket. */
    private IntConsumer closing(Ticket ticket) {
        return outputTokens -> {
            AdmissionRequest request = ticket.request();
            if (outputTokens > 0) {
                lengths.onAnswer(request.customer(), request.model(), outputTokens);
            }
            controller.close(ticket, outputTokens, timing.ticker().nanos());
        };
    }

    /** Withdraws a waiting request. */
    private void cancel(Ticket ticket) {
        if (waiting.remove(ticket) != null) {
            controller.cancel(ticket, timing.ticker().nanos());
        }
    }

    /** Admits the waiting requests that fit an engine and answers those that were given up. */
    private void releaseWaiting() {
        if (waiting.isEmpty()) {
            return;
        }
        long now = timing.ticker().nanos();
        waiting.keySet().stream()
                .map(ticket -> ticket.request().model())
                .distinct()
                .forEach(model -> {
                    Optional<Release<Expectation>> next = controller.next(model, now, this::dispatchable);
                    while (next.isPresent()) {
                        admitWaiting(next.get().ticket());
                        next = controller.next(model, now, this::dispatchable);
                    }
                });
        for (RefusedTicket refused : controller.giveUp(now)) {
            Optional.ofNullable(waiting.remove(refused.ticket()))
                    .ifPresent(caller -> caller.refused().accept(Refusals.of(refused.refusal())));
        }
    }

    /** Returns what the best route promises, empty when no engine takes one more request now. */
    private Optional<Expectation> dispatchable(AdmissionRequest request) {
        return expectation.apply(request).filter(controller::dispatchable);
    }

    /** Admits a waiting request. */
    private void admitWaiting(Ticket ticket) {
        Waiting caller = waiting.remove(ticket);
        if (caller == null) {
            controller.cancel(ticket, timing.ticker().nanos());
            return;
        }
        caller.admitted().accept(closing(ticket));
    }

    /**
     * The caller of a waiting request.
     *
     * @param admitted receives the admission
     * @param refused receives the final answer
     */
    private record Waiting(Consumer<IntConsumer> admitted, Consumer<Refusal> refused) {}
}
