package org.verbenatray.catalog;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the largest size of all headers in bytes
 * @param maxBodyBytes the largest body in bytes
 * @param headerMillis the time for the head of a request in milliseconds
 * @param idleMillis the time that a connection may be idle in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerMillis, long idleMillis) {}
