package org.verbenatray.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.verbenatray.admission.FairQueue.QueuePosition;
import org.verbenatray.time.Deadline;

/** The waiting requests of one model, with estimates of when they are served. Not thread-safe. */
final class ModelQueue {
    /**
     * The number of planned-change durations after which an outage is no longer taken for a planned change and the
     * model counts as unavailable.
     */
    private static final double MAX_OUTAGE_CHANGES = 2;

    private static final double NANOS_PER_MILLI = 1e6;

    private final FairQueue queue;

    /** Spreads the retries of rejected callers. */
    private final RetrySchedule retrySchedule = RetrySchedule.create();

    /** The last capacity with which the model was served; kept during an outage for the estimates. */
    private ModelCapacity capacity = ModelCapacity.NONE;

    private boolean served;

    private long outageStartNanos;

    /** The time in milliseconds for which a planned change takes an engine out of service. */
    private long changeMillis;

    /** The work that is queued for the same engines at the other instances. */
    private Work peersBacklog = Work.NONE;

    /** The number of instances that share the engines, this one included. */
    private int instanceCount = 1;

    private ModelQueue(FairQueue queue) {
        this.queue = queue;
    }

    /**
     * Returns an empty queue.
     *
     * @param weights returns the weight of a customer's share
     */
    static ModelQueue create(ToDoubleFunction<String> weights) {
        return new ModelQueue(FairQueue.create(weights));
    }

    /** Returns the waiting requests. */
    FairQueue queue() {
        return queue;
    }

    /**
     * Updates the capacity of the model's engines; the last one with which the model was served is kept for the
     * estimates.
     */
    void onCapacity(ModelCapacity newCapacity, long nowNanos) {
        if (served && !newCapacity.canServe()) {
            outageStartNanos = nowNanos;
        }
        served = newCapacity.canServe();
        if (served) {
            capacity = newCapacity;
        }
    }

    /** Sets the time in milliseconds for which a planned change takes an engine out of service. */
    void onChangeMillis(long newChangeMillis) {
        changeMillis = newChangeMillis;
    }

    /** Returns the last capacity with which the model was served. */
    ModelCapacity capacity() {
        return capacity;
    }

    /** Returns whether engines serve the model at present. */
    boolean isServed() {
        return served;
    }

    /** Returns whether no engine serves the model and none is expected back from a planned change. */
    boolean isUnavailable(long nowNanos) {
        if (served) {
            return false;
        }
        double outageMillis = (nowNanos - outageStartNanos) / NANOS_PER_MILLI;
        return !capacity.canServe() || outageMillis > MAX_OUTAGE_CHANGES * changeMillis;
    }

    /** Returns the time in milliseconds for which the model is expected to stay without engines. */
    double expectedOutageMillis() {
        return served ? 0 : changeMillis;
    }

    /** Updates the work that is queued at the other instances, and the number of instances, this one included. */
    void onPeersBacklog(Work backlog, int newInstanceCount) {
        peersBacklog = backlog;
        instanceCount = newInstanceCount;
    }

    /**
     * Returns the time in milliseconds that the engines need for a request: the smaller one of the estimates by the
     * model's capacity and by the request's route.
     */
    double serviceMillis(AdmissionRequest request, Optional<LatencyEstimate> estimate) {
        double byCapacity = capacity.serviceMillis(request.work());
        return estimate.map(byRoute -> Math.min(byCapacity, byRoute.totalMillis(request.expectedOutputTokens())))
                .orElse(byCapacity);
    }

    /**
     * Returns the expected wait in milliseconds of a request that is not in the queue, if no engine can accept it at
     * once.
     */
    double waitMillis(Ticket newTicket) {
        for (QueuePosition position : queue.expectedOrder(List.of(newTicket))) {
            if (position.ticket() == newTicket) {
                return expectedOutageMillis()
                        + drainMillis(
                                position.workAhead().plus(newTicket.request().work()));
            }
        }
        throw new IllegalStateException("the new request has no position in the queue");
    }

    /**
     * Schedules the retry of a rejected request and returns the milliseconds until then, no less than the given minimum
     * unless that exceeds the longest delay of the schedule.
     */
    double scheduleRetryMillis(AdmissionRequest request, double minMillis, long nowNanos) {
        double drainMillis = capacity.canServe() ? capacity.drainMillis(request.work()) : 0;
        return retrySchedule.scheduleDelayMillis(minMillis, drainMillis * instanceCount, nowNanos);
    }

    /** Returns the mean time in milliseconds in which the engines finish one waiting request. */
    double meanDrainMillis() {
        return capacity.canServe() ? drainMillis(queue.work()) / Math.max(1, queue.size()) : 0;
    }

    /** Returns the waiting requests whose deadlines can no longer be met. */
    List<Ticket> withUnreachableDeadline(long nowNanos) {
        if (isUnavailable(nowNanos)) {
            return queue.tickets();
        }
        List<Ticket> unreachable = new ArrayList<>();
        Work rejectedWork = Work.NONE;
        for (QueuePosition position : queue.expectedOrder(List.of())) {
            Ticket ticket = position.ticket();
            double wait = served ? drainMillis(position.workAhead().minus(rejectedWork)) : 0;
            if (remainingMillis(ticket.request().deadline(), nowNanos) < wait + ticket.serviceMillis()) {
                unreachable.add(ticket);
                rejectedWork = rejectedWork.plus(ticket.request().work());
            }
        }
        return unreachable;
    }

    /** Returns the milliseconds until a deadline, negative when it has passed. */
    static double remainingMillis(Deadline deadline, long nowNanos) {
        return (deadline.atNanos() - nowNanos) / NANOS_PER_MILLI;
    }

    /**
     * Returns the time in milliseconds until the engines have finished the work, while the other instances take equal
     * turns.
     */
    private double drainMillis(Work ahead) {
        Work competingWork = peersBacklog.min(ahead.times(instanceCount - 1L));
        return capacity.drainMillis(ahead.plus(competingWork));
    }
}
