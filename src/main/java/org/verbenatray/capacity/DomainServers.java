package org.verbenatray.capacity;

/**
 * The servers of a service in one failure domain that accept requests.
 *
 * @param domain the failure domain
 * @param price the price of a server that is not reclaimable, for each second
 * @param permanent the number of servers that are not reclaimable
 * @param reclaimable the number of servers that may be reclaimed
 * @param reclaimableOffered whether reclaimable servers were to be had when they were ordered last
 */
public record DomainServers(String domain, double price, int permanent, int reclaimable, boolean reclaimableOffered) {
    /** Returns the number of servers. */
    int total() {
        return permanent + reclaimable;
    }
}
