package org.verbenatray.admission;

/**
 * A waiting request that was given up.
 *
 * @param ticket the ticket, which is closed
 * @param refusal the final answer to its caller
 */
public record RefusedTicket(Ticket ticket, Refusal refusal) {}
