package org.verbenatray.catalog;

/**
 * Size limits and timeouts for the requests and connections of callers.
 *
 * @param maxHeaderBytes the maximum total size of the headers of a request, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the timeout for receiving the head of a request, in milliseconds
 * @param idleTimeoutMillis the idle timeout of a connection, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
