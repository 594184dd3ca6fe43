/**
 * Leases that decide which instance may send orders to the engines of a failure domain, with fencing tokens.
 *
 * <p>{@link org.verbenatray.authority.LeaseManager} keeps a lease in the replicated log of the instances;
 * {@link org.verbenatray.authority.LogLease} keeps one in a log with conditional appends.
 */
package org.verbenatray.authority;
