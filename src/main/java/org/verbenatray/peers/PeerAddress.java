package org.verbenatray.peers;

/**
 * An instance and where its peers reach it.
 *
 * @param instance the instance
 * @param failureDomain its failure domain
 * @param host the IP number
 * @param port the port of its peer links
 */
public record PeerAddress(String instance, String failureDomain, String host, int port) {}
