package org.verbenatray.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Validated settings of an entry instance.
 *
 * @param name the name of the instance, unique in the deployment
 * @param failureDomain the failure domain that the instance runs in
 * @param platform the base URI of the platform (log service and instance list)
 * @param listen the listen address for callers
 * @param operators the listen address for health checks, metrics and state
 * @param peers the listen address for other instances
 * @param knownPeers the peer addresses to connect to until the platform's instance list has been read
 * @param ioThreads the number of I/O threads
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxOpenRequests the maximum number of requests without a final response
 * @param defaultTimeoutMillis the timeout in milliseconds of a request whose caller sets none
 * @param silenceMillis the time without a token, in milliseconds, after which the engine is asked for the state of the
 *     stream
 * @param leaseTermMillis the duration of a lease term in milliseconds
 */
public record EntrySettings(
        String name,
        String failureDomain,
        String platform,
        InetSocketAddress listen,
        InetSocketAddress operators,
        InetSocketAddress peers,
        List<InetSocketAddress> knownPeers,
        int ioThreads,
        long maxBodyBytes,
        int maxOpenRequests,
        long defaultTimeoutMillis,
        long silenceMillis,
        long leaseTermMillis) {}
