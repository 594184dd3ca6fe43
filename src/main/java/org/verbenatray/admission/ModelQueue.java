package org.verbenatray.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.verbenatray.admission.FairQueue.Place;
import org.verbenatray.time.Deadline;

/** The waiting requests of one model with the estimates of when they are served. Not thread-safe. */
final class ModelQueue {
    /** The times of planned changes that an outage may last before the model counts as abandoned. */
    private static final double MAX_CHANGES = 2;

    /** Nanoseconds in one millisecond. */
    private static final double NANOS_PER_MILLI = 1e6;

    /** The waiting requests. */
    private final FairQueue queue;

    /** The times at which refused callers come back. */
    private final ReturnSchedule returns = ReturnSchedule.create();

    /** The last capacity that served the model. */
    private ModelCapacity capacity = ModelCapacity.NONE;

    /** Whether engines serve the model at present. */
    private boolean served;

    /** The time at which engines stopped to serve the model. */
    private long unservedNanos;

    /** The time that a planned change takes an engine out of service in milliseconds. */
    private long changeMillis;

    /** The work that waits for the same engines at the other instances. */
    private Work peersBacklog = Work.NONE;

    /** The number of instances that share the engines. */
    private int instances = 1;

    /** Creates an empty queue. */
    private ModelQueue(FairQueue queue) {
        this.queue = queue;
    }

    /** Returns an empty queue with the weights of the customers' shares. */
    static ModelQueue create(ToDoubleFunction<String> weights) {
        return new ModelQueue(FairQueue.create(weights));
    }

    /** Returns the waiting requests. */
    FairQueue queue() {
        return queue;
    }

    /** Takes over the capacity of the model's engines; the last one that served is kept for estimates. */
    void onCapacity(ModelCapacity newCapacity, long nowNanos) {
        if (served && !newCapacity.serves()) {
            unservedNanos = nowNanos;
        }
        served = newCapacity.serves();
        if (served) {
            capacity = newCapacity;
        }
    }

    /** Takes over the time that a planned change takes an engine out of service. */
    void onChangeMillis(long newChangeMillis) {
        changeMillis = newChangeMillis;
    }

    /** Returns the last capacity that served the model. */
    ModelCapacity capacity() {
        return capacity;
    }

    /** Returns whether engines serve the model at present. */
    boolean served() {
        return served;
    }

    /** Returns whether no engine serves the model and none is expected back from a planned change. */
    boolean abandoned(long nowNanos) {
        if (served) {
            return false;
        }
        double outageMillis = (nowNanos - unservedNanos) / NANOS_PER_MILLI;
        return !capacity.serves() || outageMillis > MAX_CHANGES * changeMillis;
    }

    /** Returns the time for which the model is expected to stay without engines. */
    double outageMillis() {
        return served ? 0 : changeMillis;
    }

    /** Takes over the work that waits at the other instances, of which there are the given number less one. */
    void peers(Work backlog, int newInstances) {
        peersBacklog = backlog;
        instances = newInstances;
    }

    /** Returns the time that the engines need for a request, by its route when that promises less. */
    double serviceMillis(AdmissionRequest request, Optional<Expectation> expectation) {
        double byCapacity = capacity.serviceMillis(request.work());
        return expectation
                .map(expected -> Math.min(byCapacity, expected.totalMillis(request.expectedOutputTokens())))
                .orElse(byCapacity);
    }

    /** Returns the expected wait of a request that does not wait yet, when no engine can take it at once. */
    double waitMillis(Ticket newcomer) {
        for (Place place : queue.places(List.of(newcomer))) {
            if (place.ticket() == newcomer) {
                return outageMillis()
                        + drainMillis(place.ahead().plus(newcomer.request().work()));
            }
        }
        throw new IllegalStateException("the newcomer has no place");
    }

    /** Returns the time after which a refused caller should come back, no earlier than the given time. */
    double returnMillis(AdmissionRequest request, double earliestMillis, long nowNanos) {
        double drainMillis = capacity.serves() ? capacity.drainMillis(request.work()) : 0;
        return returns.next(earliestMillis, drainMillis * instances, nowNanos);
    }

    /** Returns the time in which the engines finish one waiting request, as a mean. */
    double meanDrainMillis() {
        return capacity.serves() ? drainMillis(queue.work()) / Math.max(1, queue.size()) : 0;
    }

    /** Returns the waiting requests whose deadlines can no longer be met. */
    List<Ticket> hopeless(long nowNanos) {
        if (abandoned(nowNanos)) {
            return queue.tickets();
        }
        List<Ticket> hopeless = new ArrayList<>();
        Work given = Work.NONE;
        for (Place place : queue.places(List.of())) {
            Ticket ticket = place.ticket();
            double wait = served ? drainMillis(place.ahead().minus(given)) : 0;
            if (remainingMillis(ticket.request().deadline(), nowNanos) < wait + ticket.serviceMillis()) {
                hopeless.add(ticket);
                given = given.plus(ticket.request().work());
            }
        }
        return hopeless;
    }

    /** Returns the milliseconds until a deadline, negative when it has passed. */
    static double remainingMillis(Deadline deadline, long nowNanos) {
        return (deadline.atNanos() - nowNanos) / NANOS_PER_MILLI;
    }

    /** Returns the time until the engines have finished the work, while the other instances take equal turns. */
    private double drainMillis(Work ahead) {
        Work ofPeers = peersBacklog.min(ahead.times(instances - 1L));
        return capacity.drainMillis(ahead.plus(ofPeers));
    }
}
