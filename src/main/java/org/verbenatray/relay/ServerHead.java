package org.verbenatray.relay;

import java.util.Map;

/**
 * The head of a server's answer.
 *
 * @param status the status
 * @param headers the headers that are passed on, by name
 * @param answersId whether it names the request that it answers
 * @param genuine whether it bears the server's own mark and no encoding that the server doesn't use
 * @param notRun whether the server states that it did not run the request
 * @param stream whether the body is a stream of events
 */
public record ServerHead(
        int status, Map<String, String> headers, boolean answersId, boolean genuine, boolean notRun, boolean stream) {}
