package org.verbenatray.bench;

/**
 * A request of an experiment.
 *
 * @param atNanos when it arrives
 * @param failureDomain where it arrives
 * @param kind its kind
 * @param promptTokens the length of its prompt in tokens
 * @param outputTokens the length of its answer in tokens, which the decisions do not know
 * @param deadlineNanos when the whole answer is due
 * @param seed the seed of the answer's text
 */
public record Arrival(
        long atNanos,
        String failureDomain,
        RequestKind kind,
        int promptTokens,
        int outputTokens,
        long deadlineNanos,
        long seed) {}
