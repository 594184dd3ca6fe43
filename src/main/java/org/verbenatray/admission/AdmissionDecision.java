package org.verbenatray.admission;

/** The decision of the admission controller on a new request. */
public sealed interface AdmissionDecision {
    /**
     * The request may be dispatched now.
     *
     * @param ticket the ticket to close when the request has ended
     */
    record Admitted(Ticket ticket) implements AdmissionDecision {}

    /**
     * The request waits in the queue.
     *
     * @param ticket the ticket, which is released or rejected later
     * @param queueLength the number of waiting requests of the model, including this one
     * @param expectedWaitMillis the expected wait in milliseconds
     */
    record Queued(Ticket ticket, int queueLength, double expectedWaitMillis) implements AdmissionDecision {}

    /**
     * The request is rejected and will not run.
     *
     * @param rejection the final response
     */
    record Rejected(AdmissionRejection rejection) implements AdmissionDecision {}
}
