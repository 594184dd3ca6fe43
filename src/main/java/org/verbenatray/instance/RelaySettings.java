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
 * @param routesPace how often the routes are read
 * @param serversPace how often the list of servers is read
 */
public record RelaySettings(
        String name,
        String domain,
        RelayAddresses addresses,
        InetSocketAddress exchange,
        double retryRatio,
        long retryWindowMillis,
        long graceMillis,
        Pace routesPace,
        Pace serversPace) {}
