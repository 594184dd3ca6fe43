package org.verbenatray.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.verbenatray.admission.AdmissionController;
import org.verbenatray.admission.AdmissionDecision;
import org.verbenatray.admission.AdmissionRequest;
import org.verbenatray.admission.RejectedTicket;
import org.verbenatray.admission.ReleasedTicket;
import org.verbenatray.admission.Ticket;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.serving.RoutedEngineChooser.RouteEstimate;
import org.verbenatray.time.Timing;

/**
 * Admits requests through the {@link AdmissionController} and holds those that have to wait in its queue.
 *
 * <p>The load of an admitted request is counted provisionally at once, so that the next decision takes it into account
 * although the request is not dispatched yet. Thread-safe; the consumers of results are called without the lock.
 */
public final class QueuedAdmitter implements Admitter {
    /** The interval between checks of the queue while requests wait, in milliseconds. */
    private static final long QUEUE_CHECK_MILLIS = 10;

    private final AdmissionController controller;

    /** Estimates the latency of the best route of a request. */
    private final RoutedEngineChooser chooser;

    /** Receives every request before its admission is decided. */
    private final Consumer<AdmissionRequest> arrivals;

    private final Timing timing;

    /** Whether the next check of the queue is scheduled; guarded by the lock. */
    private boolean queueCheckScheduled;

    /** The requests in the queue of the controller, by identity; guarded by the lock. */
    private final Map<AdmissionRequest, WaitingRequest> waiting = new IdentityHashMap<>();

    private QueuedAdmitter(
            AdmissionController controller,
            RoutedEngineChooser chooser,
            Consumer<AdmissionRequest> arrivals,
            Timing timing) {
        this.controller = controller;
        this.chooser = chooser;
        this.arrivals = arrivals;
        this.timing = timing;
    }

    /**
     * Returns an admitter without waiting requests; {@code arrivals} receives every request before its admission is
     * decided.
     */
    public static QueuedAdmitter create(
            AdmissionController controller,
            RoutedEngineChooser chooser,
            Consumer<AdmissionRequest> arrivals,
            Timing timing) {
        return new QueuedAdmitter(controller, chooser, arrivals, timing);
    }

    @Override
    public Cancellation admit(
            CompletionRequest request, Consumer<AdmissionHandle> admitted, Consumer<Refusal> rejected) {
        AdmissionRequest admissionRequest = admissionRequest(request);
        arrivals.accept(admissionRequest);
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (this) {
            long now = timing.ticker().nanos();
            Optional<RouteEstimate> estimate = chooser.estimateBestRoute(request);
            AdmissionDecision decision = controller.admit(admissionRequest, estimate.map(RouteEstimate::latency), now);
            if (decision instanceof AdmissionDecision.Rejected rejection) {
                callbacks.add(() -> rejected.accept(AdmissionRefusals.of(rejection.rejection())));
            } else if (decision instanceof AdmissionDecision.Admitted admission) {
                AdmissionHandle handle = createHandle(admission.ticket(), estimate.orElseThrow());
                callbacks.add(() -> admitted.accept(handle));
            } else {
                Ticket ticket = ((AdmissionDecision.Queued) decision).ticket();
                waiting.put(admissionRequest, new WaitingRequest(request, ticket, admitted, rejected));
                callbacks.addAll(decideWaiting());
                scheduleQueueCheck();
            }
        }
        callbacks.forEach(Runnable::run);
        return () -> cancel(admissionRequest);
    }

    /** Admits or rejects waiting requests where that is due, and schedules the next check while others wait. */
    private void checkQueue() {
        List<Runnable> callbacks;
        synchronized (this) {
            queueCheckScheduled = false;
            callbacks = decideWaiting();
            scheduleQueueCheck();
        }
        callbacks.forEach(Runnable::run);
    }

    /** Schedules the next check of the queue if requests wait; the caller holds the lock. */
    private void scheduleQueueCheck() {
        if (!queueCheckScheduled && !waiting.isEmpty()) {
            queueCheckScheduled = true;
            timing.scheduler().runAt(timing.deadlineAfterMillis(QUEUE_CHECK_MILLIS), this::checkQueue);
        }
    }

    /** Returns the number of requests that wait for admission. */
    public synchronized int waitingRequests() {
        return waiting.size();
    }

    /** Returns the properties of a request on which its admission depends. */
    private AdmissionRequest admissionRequest(CompletionRequest request) {
        return new AdmissionRequest(
                request.customer(),
                request.model(),
                request.priority(),
                request.promptTokens(),
                chooser.expectedOutputTokens(request),
                request.deadline());
    }

    /** Counts the provisional load of an admitted request and returns its handle. */
    private AdmissionHandle createHandle(Ticket ticket, RouteEstimate estimate) {
        Runnable removeProvisionalLoad = chooser.addProvisionalLoad(estimate);
        return new AdmissionHandle() {
            @Override
            public void releaseProvisionalLoad() {
                removeProvisionalLoad.run();
            }

            @Override
            public void close(int outputTokens) {
                removeProvisionalLoad.run();
                AdmissionRequest request = ticket.request();
                if (outputTokens > 0) {
                    chooser.recordOutputLength(request.customer(), request.model(), outputTokens);
                }
                controller.close(ticket, outputTokens, timing.ticker().nanos());
            }
        };
    }

    private synchronized void cancel(AdmissionRequest request) {
        WaitingRequest waitingRequest = waiting.remove(request);
        if (waitingRequest != null) {
            controller.cancel(waitingRequest.ticket(), timing.ticker().nanos());
        }
    }

    /**
     * Removes the waiting requests that an engine can serve now and those that the controller rejects, and returns the
     * callbacks that report this to their callers, to be run without the lock.
     */
    private synchronized List<Runnable> decideWaiting() {
        List<Runnable> callbacks = new ArrayList<>();
        if (waiting.isEmpty()) {
            return callbacks;
        }
        long now = timing.ticker().nanos();
        for (String model : waitingModels()) {
            Optional<ReleasedTicket<RouteEstimate>> released =
                    controller.releaseNext(model, now, this::dispatchableEstimate);
            while (released.isPresent()) {
                ReleasedTicket<RouteEstimate> release = released.get();
                WaitingRequest waitingRequest = waiting.remove(release.ticket().request());
                AdmissionHandle handle = createHandle(release.ticket(), release.route());
                callbacks.add(() -> waitingRequest.admitted().accept(handle));
                released = controller.releaseNext(model, now, this::dispatchableEstimate);
            }
        }
        for (RejectedTicket rejectedTicket : controller.collectRejected(now)) {
            Optional.ofNullable(waiting.remove(rejectedTicket.ticket().request()))
                    .ifPresent(waitingRequest -> callbacks.add(
                            () -> waitingRequest.rejected().accept(AdmissionRefusals.of(rejectedTicket.rejection()))));
        }
        return callbacks;
    }

    /** Returns the models of the waiting requests, ordered by the highest waiting priority. */
    private List<String> waitingModels() {
        return waiting.keySet().stream()
                .sorted(Comparator.comparingInt(AdmissionRequest::priority).reversed())
                .map(AdmissionRequest::model)
                .distinct()
                .toList();
    }

    /** Returns the estimate of the best route, empty if no engine can accept the request now. */
    private Optional<RouteEstimate> dispatchableEstimate(AdmissionRequest request) {
        return chooser.estimateBestRoute(waiting.get(request).request())
                .filter(estimate -> controller.canDispatch(request.priority(), estimate.latency()));
    }

    /**
     * A waiting request and the consumers of its result.
     *
     * @param request the request
     * @param ticket the ticket of the request in the queue
     * @param admitted receives the admission
     * @param rejected receives the refusal
     */
    private record WaitingRequest(
            CompletionRequest request, Ticket ticket, Consumer<AdmissionHandle> admitted, Consumer<Refusal> rejected) {}
}
