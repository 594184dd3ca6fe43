package org.verbenatray.instance;

import java.net.InetSocketAddress;
import org.verbenatray.duties.DutySettings;
import org.verbenatray.relay.RelayServer.RelayAddresses;

/**
 * The settings of a relay instance.
 *
 * @param name the name of the instance
 * @param failureDomain the failure domain of the instance
 * @param addresses the addresses on which it listens
 * @param workExchangeAddress the UDP address on which it receives the open work of other instances
 * @param retryRatio the maximum number of retries per request, over all instances together
 * @param retryExtra the maximum number of retries in the window beyond that, over all instances together
 * @param retryWindowMillis the sliding window over which that ratio holds, in milliseconds
 * @param graceMillis the grace period from the request to stop to the end of the process, in milliseconds
 * @param leavingServerMillis the time in milliseconds after which a leaving server must get no more requests
 * @param routePropagationMillis the time in milliseconds within which new routes must be in force
 * @param duties the duties that one instance does for all
 * @param firstStart whether the whole system starts for the first time, so that nothing acted before
 */
public record RelayInstanceSettings(
        String name,
        String failureDomain,
        RelayAddresses addresses,
        InetSocketAddress workExchangeAddress,
        double retryRatio,
        double retryExtra,
        long retryWindowMillis,
        long graceMillis,
        long leavingServerMillis,
        long routePropagationMillis,
        DutySettings duties,
        boolean firstStart) {
    /** The share of the allowed retries that is used; the rest covers differences between the instances' counts. */
    private static final double RETRY_SHARE = 0.75;

    /** The number of reads of the server list within the time in which a leaving server may still get requests. */
    private static final long READS_PER_LEAVING_PERIOD = 3;

    /** The share of the propagation time that a long poll for routes waits; the rest is left to detect a hung read. */
    private static final double ROUTES_LONG_POLL_SHARE = 0.6;

    /** Returns the time for which a read of the routes waits for a change, in milliseconds. */
    long routesWaitMillis() {
        return (long) (routePropagationMillis * ROUTES_LONG_POLL_SHARE);
    }

    /** Returns the time between two reads of the list of servers, in milliseconds. */
    long serversPollMillis() {
        return leavingServerMillis / READS_PER_LEAVING_PERIOD;
    }

    /** Returns the number of retries that this instance may send per request of its own. */
    double instanceRetryRatio() {
        return retryRatio * RETRY_SHARE;
    }

    /** Returns whether a running instance can switch to other settings: name, domain and addresses are the same. */
    boolean canSwitchTo(RelayInstanceSettings other) {
        return name.equals(other.name)
                && failureDomain.equals(other.failureDomain)
                && addresses.equals(other.addresses)
                && workExchangeAddress.equals(other.workExchangeAddress);
    }
}
