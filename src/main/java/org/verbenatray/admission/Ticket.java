package org.verbenatray.admission;

/** A request that was accepted: it waits in the queue or was admitted. Compared by identity. */
public final class Ticket {
    /** The request. */
    private final AdmissionRequest request;

    /** The time at which it was accepted. */
    private final long acceptedNanos;

    /** The time that the engines are expected to need for the request in milliseconds. */
    private final double serviceMillis;

    /** The place of the ticket. */
    private State state;

    /** The times that a later request was released because this one fitted no engine. */
    private int passes;

    /** The time at which the answer is expected to be whole, for an admitted request. */
    private long expectedEndNanos;

    /** Creates a ticket from its parts. */
    private Ticket(AdmissionRequest request, long acceptedNanos, double serviceMillis) {
        this.request = request;
        this.acceptedNanos = acceptedNanos;
        this.serviceMillis = serviceMillis;
        this.state = State.QUEUED;
    }

    /** Returns a ticket that waits. */
    static Ticket create(AdmissionRequest request, long acceptedNanos, double serviceMillis) {
        return new Ticket(request, acceptedNanos, serviceMillis);
    }

    /** Returns the request. */
    public AdmissionRequest request() {
        return request;
    }

    /** Returns the time at which the request was accepted in nanoseconds of the ticker. */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /** Returns the time that the engines are expected to need for the request in milliseconds. */
    double serviceMillis() {
        return serviceMillis;
    }

    /** Returns whether the deadline can't be met even without any further wait. */
    boolean hopeless(long nowNanos) {
        return ModelQueue.remainingMillis(request.deadline(), nowNanos) < serviceMillis;
    }

    /** Returns the place of the ticket. */
    State state() {
        return state;
    }

    /** Moves the ticket. */
    void state(State newState) {
        state = newState;
    }

    /** Returns the times that a later request was released in its place. */
    int passes() {
        return passes;
    }

    /** Notes that a later request was released in its place. */
    void passed() {
        passes++;
    }

    /** Returns the time at which the answer is expected to be whole. */
    long expectedEndNanos() {
        return expectedEndNanos;
    }

    /** Sets the time at which the answer is expected to be whole. */
    void expectedEndNanos(long nanos) {
        expectedEndNanos = nanos;
    }

    /** The place of a ticket. */
    enum State {
        /** Waits in the queue. */
        QUEUED,
        /** Was given to an engine. */
        ADMITTED,
        /** Finished, was withdrawn or was refused. */
        CLOSED
    }
}
