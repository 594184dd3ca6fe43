package org.verbenatray.admission;

/**
 * A request that leaves the queue to be dispatched.
 *
 * @param ticket the ticket to close when the request has ended
 * @param route the result of the routing function for the request
 * @param <R> the type of a route
 */
public record ReleasedTicket<R>(Ticket ticket, R route) {}
