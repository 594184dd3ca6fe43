package org.verbenatray.relay;

import java.util.Optional;
import org.verbenatray.backends.Backend;
import org.verbenatray.servers.ConnectionUse;

/**
 * How a request is sent to a backend server.
 *
 * @param backend the server
 * @param budgetMillis the time in milliseconds that the server may work on it
 * @param priority the rank, zero first
 * @param prefillOnly whether the server only processes the prompt
 * @param fetchFrom the engine from which it first takes what that one keeps of the prompt; empty for none
 * @param source where the processed prompt lies; empty where the server processes it itself
 * @param resumeAfter the last event that the caller has; empty for a whole answer
 * @param use which connection it travels on
 */
public record Forwarding(
        Backend backend,
        long budgetMillis,
        int priority,
        boolean prefillOnly,
        Optional<Backend> fetchFrom,
        Optional<PromptSource> source,
        Optional<String> resumeAfter,
        ConnectionUse use) {}
