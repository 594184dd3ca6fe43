package org.verbenatray.fleet;

/**
 * A change of an engine's load that a dispatch of an instance caused.
 *
 * @param streams the change of the accepted streams
 * @param prefillTokens the change of the prompt tokens that wait or are being processed
 * @param kvTokens the change of the tokens held in KV cache
 */
public record LoadChange(int streams, long prefillTokens, long kvTokens) {
    /** No change. */
    public static final LoadChange NONE = new LoadChange(0, 0, 0);

    /** Returns the sum of both changes. */
    public LoadChange plus(LoadChange other) {
        return new LoadChange(streams + other.streams, prefillTokens + other.prefillTokens, kvTokens + other.kvTokens);
    }

    /** Returns the change that undoes this one. */
    public LoadChange negated() {
        return new LoadChange(-streams, -prefillTokens, -kvTokens);
    }
}
