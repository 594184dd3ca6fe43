package org.verbenatray.serving;

/**
 * Timeouts and limits of {@link StreamRelay}.
 *
 * @param stallTimeoutMillis the time without a token, in milliseconds, after which the relay queries the engine for the
 *     status of the dispatch over a new connection
 * @param probeTimeoutMillis the time in milliseconds that the engine has to respond to that status request
 * @param maxDispatches the maximum number of dispatches of one request, including the first
 */
public record StreamRelaySettings(long stallTimeoutMillis, long probeTimeoutMillis, int maxDispatches) {
    /** Returns the default settings. */
    public static StreamRelaySettings defaults() {
        return new StreamRelaySettings(2_000, 1_000, 4);
    }
}
