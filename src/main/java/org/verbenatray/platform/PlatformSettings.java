package org.verbenatray.platform;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import org.verbenatray.duties.DutySettings;
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
 * @param apiAddress the address of the platform's API for duties; empty if there is none
 * @param duties the duties
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
        Optional<InetSocketAddress> apiAddress,
        DutySettings duties,
        boolean firstStart) {
    /** Returns the base URI of the store. */
    URI storeUri() {
        return uri(storeAddress);
    }

    /** Returns the base URI of the platform's API for duties; empty if there is none. */
    Optional<URI> apiUri() {
        return apiAddress.map(PlatformSettings::uri);
    }

    private static URI uri(InetSocketAddress address) {
        return URI.create("http://" + address.getHostString() + ":" + address.getPort());
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
                duties,
                firstStart);
    }
}
