package org.verbenatray.instance;

import java.net.InetSocketAddress;
import org.verbenatray.relay.RelayServer.RelayAddresses;
import org.verbenatray.state.KeyedFollower.Pace;

/**
 * The settings of a relaying instance.
 *
 * @param name the name of the instance
 * @param domain its failure domain
 * @param addresses where it listens
 * @param exchange where it takes other instances' notices of their open work
 * @param retryRatio the retries per request that all instances together may send
 * @param retryWindowMillis the sliding window of that ratio in milliseconds
 * @param graceMillis the time in milliseconds between the request to stop and the end of the process
 * @param leavingMillis the time in milliseconds after which a leaving server may get nothing more
 * @param routesMillis the time in milliseconds after which new routes must be in force
 */
public record RelaySettings(
        String name,
        String domain,
        RelayAddresses addresses,
        InetSocketAddress exchange,
        double retryRatio,
        long retryWindowMillis,
        long graceMillis,
        long leavingMillis,
        long routesMillis) {
    /** The share of the allowed retries that is used; the rest covers what the instances count differently. */
    private static final double RETRY_SHARE = 0.75;

    /** Reads of the list of servers within the time that a leaving server may still get requests. */
    private static final long READS_PER_LEAVING = 3;

    /** The share of the time for new routes that one read waits for them, so that a silent one is noticed. */
    private static final double ROUTES_WAIT = 0.6;

    /** The time between two reads of the routes in milliseconds. */
    private static final long ROUTES_BETWEEN_MILLIS = 50;

    /** Returns how often the routes are read. */
    Pace routesPace() {
        return new Pace(ROUTES_BETWEEN_MILLIS, (long) (routesMillis * ROUTES_WAIT));
    }

    /** Returns how often the list of servers is read. */
    Pace serversPace() {
        return new Pace(leavingMillis / READS_PER_LEAVING, 0);
    }

    /** Returns the retries that an instance sends for each of its own requests. */
    double ownRetryRatio() {
        return retryRatio * RETRY_SHARE;
    }

    /** Returns whether a running instance can go over to other settings: it keeps its name and addresses. */
    boolean adapts(RelaySettings other) {
        return name.equals(other.name)
                && domain.equals(other.domain)
                && addresses.equals(other.addresses)
                && exchange.equals(other.exchange);
    }
}
