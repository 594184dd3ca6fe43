package org.verbenatray.fleet;

/**
 * A change in the load of an engine that dispatches of an instance cause.
 *
 * @param streams the change in the number of accepted streams
 * @param prefillTokens the change in the prompt tokens queued or being processed
 * @param kvTokens the change in the KV cache in use, in tokens
 */
public record LoadChange(int streams, long prefillTokens, long kvTokens) {
    /** No change. */
    public static final LoadChange NONE = new LoadChange(0, 0, 0);

    /** Returns the sum of both changes. */
    public LoadChange plus(LoadChange other) {
        return new LoadChange(streams + other.streams, prefillTokens + other.prefillTokens, kvTokens + other.kvTokens);
    }

    /** Returns the inverse change. */
    public LoadChange negated() {
        return new LoadChange(-streams, -prefillTokens, -kvTokens);
    }
}
