package org.verbenatray.fleet;

import org.verbenatray.configuration.EngineRole;

/**
 * The load of an engine as the engine itself states it.
 *
 * @param engine the engine's name
 * @param incarnation a number that grows with each start of the engine
 * @param sequence a number that grows with each report of one incarnation
 * @param role the present role
 * @param leaving whether the engine is leaving
 * @param changing whether the engine is changing its role or loading a model
 * @param runningStreams the streams that it accepted and has not finished, including those that wait for their prefill
 * @param queuedPrefillTokens the prompt tokens that wait or are being processed
 * @param usedKvTokens the tokens of KV cache that accepted streams hold, without the part that can be evicted
 * @param ageMillis the time between the measurement and the arrival of the report in milliseconds
 */
public record LoadReport(
        String engine,
        long incarnation,
        long sequence,
        EngineRole role,
        boolean leaving,
        boolean changing,
        int runningStreams,
        long queuedPrefillTokens,
        long usedKvTokens,
        long ageMillis) {
    /** Returns this report with a further age in milliseconds. */
    public LoadReport aged(long moreMillis) {
        return new LoadReport(
                engine,
                incarnation,
                sequence,
                role,
                leaving,
                changing,
                runningStreams,
                queuedPrefillTokens,
                usedKvTokens,
                ageMillis + Math.max(0, moreMillis));
    }

    /** Returns whether this report was made after the other one. */
    boolean newerThan(LoadReport other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
