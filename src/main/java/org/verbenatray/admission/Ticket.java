package org.verbenatray.admission;

/**
 * A request that was accepted: it waits in the queue, was admitted or has ended. Compared by identity. Its mutable
 * state is guarded by the {@link AdmissionController}.
 */
public final class Ticket {
    private final AdmissionRequest request;

    private final long acceptedNanos;

    private final double serviceMillis;

    private State state;

    /** The number of later requests that were released first because this one fitted no engine. */
    private int bypasses;

    private long expectedEndNanos;

    private Ticket(AdmissionRequest request, long acceptedNanos, double serviceMillis) {
        this.request = request;
        this.acceptedNanos = acceptedNanos;
        this.serviceMillis = serviceMillis;
        this.state = State.QUEUED;
    }

    /** Returns a queued ticket. */
    static Ticket create(AdmissionRequest request, long acceptedNanos, double serviceMillis) {
        return new Ticket(request, acceptedNanos, serviceMillis);
    }

    /** Returns the request. */
    public AdmissionRequest request() {
        return request;
    }

    /** Returns the time at which the request was accepted, in nanoseconds of the ticker. */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /** Returns the time in milliseconds that the engines are expected to need for the request, without any wait. */
    double serviceMillis() {
        return serviceMillis;
    }

    /** Returns whether the deadline can't be met even if the request is dispatched now. */
    boolean isDeadlineUnreachable(long nowNanos) {
        return ModelQueue.remainingMillis(request.deadline(), nowNanos) < serviceMillis;
    }

    /** Returns the state. */
    State state() {
        return state;
    }

    /** Sets the state. */
    void setState(State newState) {
        state = newState;
    }

    /** Returns the number of later requests that were released first because this one fitted no engine. */
    int bypasses() {
        return bypasses;
    }

    /** Records that a later request was released first. */
    void recordBypass() {
        bypasses++;
    }

    /** Returns the time at which the response is expected to be complete, in nanoseconds of the ticker. */
    long expectedEndNanos() {
        return expectedEndNanos;
    }

    /** Sets the time at which the response is expected to be complete, in nanoseconds of the ticker. */
    void setExpectedEndNanos(long nanos) {
        expectedEndNanos = nanos;
    }

    /** The state of a ticket. */
    enum State {
        /** The request waits in the queue. */
        QUEUED,
        /** The request was released for dispatch. */
        ADMITTED,
        /** The request has finished, was cancelled or was rejected. */
        CLOSED
    }
}
