package org.verbenatray.relay;

import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.servers.ConnectionUse;

/**
 * Options for forwarding a request to a backend server.
 *
 * @param backend the server
 * @param timeoutMillis the time in milliseconds that the server may spend on the request
 * @param priority the priority in the queue of the server, zero first
 * @param prefillOnly whether the server only does the prefill
 * @param fetchFrom the engine from which the server first fetches the cached prefix of the prompt; empty for none
 * @param prefilledPrompt the prompt prefilled by another engine; empty if the server does the prefill itself
 * @param lastEventId the id of the last event that the caller has received; empty to get the whole response
 * @param connectionUse the kind of connection to use
 */
public record ForwardOptions(
        Backend backend,
        long timeoutMillis,
        int priority,
        boolean prefillOnly,
        Optional<Backend> fetchFrom,
        Optional<PrefilledPrompt> prefilledPrompt,
        Optional<String> lastEventId,
        ConnectionUse connectionUse) {}
