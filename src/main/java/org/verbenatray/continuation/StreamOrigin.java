package org.verbenatray.continuation;

/**
 * The server that sent the first event of a stream.
 *
 * @param requestId the id of the caller's attempt that brought the first event
 * @param softwareVersion the version of the server's software
 * @param serverId the id of the server
 * @param startedMillis the Unix time of the server's start in milliseconds
 */
public record StreamOrigin(String requestId, String softwareVersion, String serverId, long startedMillis) {}
