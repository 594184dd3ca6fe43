package org.verbenatray.peers;

/**
 * Identity that an instance states in its hello.
 *
 * @param instance the name of the instance
 * @param failureDomain its failure domain
 */
public record PeerIdentity(String instance, String failureDomain) {}
