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
        long seed) {
    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** The time between tokens that callers are promised in milliseconds. */
    private static final long BETWEEN_TOKENS_MILLIS = 26;

    /** Returns the time that the request can wait for its first token in milliseconds. */
    public long patienceMillis() {
        long millis = (deadlineNanos - atNanos) / NANOS_PER_MILLI;
        return Math.max(0, millis - kind.expectedOutputTokens() * BETWEEN_TOKENS_MILLIS);
    }
}
