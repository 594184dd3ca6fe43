package org.verbenatray.serving;

/**
 * Bounds of the relay of streams.
 *
 * @param silenceMillis the time without a token in milliseconds after which the engine is asked over a new connection
 * @param probeMillis the time in milliseconds that the engine may take to answer
 * @param maxRuns the largest number of dispatches of one request, the first included
 */
public record RelaySettings(long silenceMillis, long probeMillis, int maxRuns) {
    /** Returns the customary bounds. */
    public static RelaySettings defaults() {
        return new RelaySettings(2_000, 1_000, 4);
    }
}
