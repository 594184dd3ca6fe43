package org.verbenatray.peers;

/**
 * Address of an instance for links from its peers.
 *
 * @param instance the name of the instance
 * @param failureDomain its failure domain
 * @param host the IP address
 * @param port the port that it listens on for peers
 */
public record PeerAddress(String instance, String failureDomain, String host, int port) {}
