package org.verbenatray.peers;

/**
 * An instance as it names itself to its peers.
 *
 * @param instance the instance
 * @param failureDomain its failure domain
 */
public record PeerIdentity(String instance, String failureDomain) {}
