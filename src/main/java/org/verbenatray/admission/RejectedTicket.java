package org.verbenatray.admission;

/**
 * A request that was rejected while it waited in the queue.
 *
 * @param ticket the ticket, which is closed
 * @param rejection the final response to its caller
 */
public record RejectedTicket(Ticket ticket, AdmissionRejection rejection) {}
