package org.verbenatray.admission;

/** The answer of admission to a request. */
public sealed interface Admission {
    /**
     * The request may be sent now.
     *
     * @param ticket the ticket to close when the request has ended
     */
    record Admitted(Ticket ticket) implements Admission {}

    /**
     * The request waits.
     *
     * @param ticket the ticket that is released or refused later
     * @param position the number of requests of the model that wait, with this one
     * @param expectedWaitMillis the expected wait in milliseconds
     */
    record Queued(Ticket ticket, int position, double expectedWaitMillis) implements Admission {}

    /**
     * The request is not run.
     *
     * @param refusal the final answer
     */
    record Refused(Refusal refusal) implements Admission {}
}
