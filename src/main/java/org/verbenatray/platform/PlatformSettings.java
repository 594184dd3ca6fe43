package org.verbenatray.platform;

import java.net.InetSocketAddress;
import java.net.URI;
import org.verbenatray.instance.RelayInstanceSettings;
import org.verbenatray.relay.RelayServer.RelayAddresses;

/**
 * The settings that a relay instance uses from the platform's settings file.
 *
 * @param name the name of the instance, which the file calls a node
 * @param domain its failure domain, which the file calls a zone
 * @param callerAddress the address that listens for callers
 * @param readinessAddress the address that listens for readiness checks
 * @param peerAddress the address that listens for the other instances
 * @param storeAddress the address of the store
 * @param shutdownGraceMillis the time between the request to stop and the end of the process, in milliseconds
 * @param serverDrainMillis the time after which a draining server must get no more requests, in milliseconds
 * @param routesApplyMillis the time after which new routes must be in force, in milliseconds
 * @param retryRatio the maximum number of retries per request, over all instances together
 * @param retryExtra the maximum number of retries in the window beyond that, over all instances together
 * @param retryWindowMillis the length of the sliding window of that ratio in milliseconds
 * @param firstStart whether the whole system starts for the first time
 */
record PlatformSettings(
        String name,
        String domain,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress storeAddress,
        long shutdownGraceMillis,
        long serverDrainMillis,
        long routesApplyMillis,
        double retryRatio,
        double retryExtra,
        long retryWindowMillis,
        boolean firstStart) {
    /** Returns the base URI of the store. */
    URI storeUri() {
        return URI.create("http://" + storeAddress.getHostString() + ":" + storeAddress.getPort());
    }

    /** Returns the settings of a relay instance whose metrics listen on the given port of the readiness host. */
    RelayInstanceSettings toRelaySettings(int metricsPort) {
        InetSocketAddress metrics = new InetSocketAddress(readinessAddress.getHostString(), metricsPort);
        return new RelayInstanceSettings(
                name,
                domain,
                new RelayAddresses(callerAddress, readinessAddress, metrics),
                peerAddress,
                retryRatio,
                retryExtra,
                retryWindowMillis,
                shutdownGraceMillis,
                serverDrainMillis,
                routesApplyMillis,
                firstStart);
    }
}
