package org.verbenatray.duties;

/**
 * An order of servers: how many of a kind a service should have in a failure domain.
 *
 * @param service the name of the service
 * @param domain the failure domain
 * @param reclaimable whether the servers may be reclaimed at short notice, all of a domain at once
 * @param count the number of servers of this kind
 */
public record ServerOrder(String service, String domain, boolean reclaimable, int count) {}
