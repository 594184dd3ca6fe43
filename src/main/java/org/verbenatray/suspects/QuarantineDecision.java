package org.verbenatray.suspects;

import java.util.Optional;

/** Decides how a request may run, depending on the server crashes that it may have caused. */
public sealed interface QuarantineDecision {
    /**
     * The request runs like any other.
     *
     * @param requiredServer the server on which this instance has an equal request in flight, and which this request
     *     must use too; empty for none
     */
    record RunNormally(Optional<String> requiredServer) implements QuarantineDecision {}

    /**
     * The request runs isolated: the server is reserved, and the run starts when the server has no other work left.
     *
     * @param server the name of the server
     */
    record RunIsolated(String server) implements QuarantineDecision {}

    /**
     * The request waits for the end of an equal request or for a server that can be reserved.
     *
     * @param retryAtMillis the earliest time for the next decision, in milliseconds since the epoch
     */
    record Wait(long retryAtMillis) implements QuarantineDecision {}

    /**
     * The request is rejected.
     *
     * @param retryAtMillis the earliest time at which the caller may retry, in milliseconds since the epoch
     */
    record Reject(long retryAtMillis) implements QuarantineDecision {}
}
