package org.verbenatray.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The settings of an entry instance.
 *
 * @param name the name of the instance, unique in the deployment
 * @param failureDomain the failure domain it runs in
 * @param platform the base URI of the platform
 * @param listen the address for callers
 * @param operators the address for operators
 * @param peers the address for other instances
 * @param knownPeers the addresses of peers that are linked to until the platform's instance list was read
 * @param ioThreads the number of threads that move bytes
 * @param maxBodyBytes the largest body of a request in bytes
 * @param maxOpenRequests the largest number of requests without a final answer
 * @param defaultTimeoutMillis the time a request may take where its caller states none, in milliseconds
 * @param silenceMillis the time without a token after which an engine is asked, in milliseconds
 * @param leaseTermMillis the term of a lease in milliseconds
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
