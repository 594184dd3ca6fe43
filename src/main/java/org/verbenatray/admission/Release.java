package org.verbenatray.admission;

/**
 * A waiting request that is sent now.
 *
 * @param ticket the ticket to close when the request has ended
 * @param route what the routing function returned for it
 * @param <R> the type of a route
 */
public record Release<R>(Ticket ticket, R route) {}
