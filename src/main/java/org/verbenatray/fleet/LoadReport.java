package org.verbenatray.fleet;

import org.verbenatray.configuration.EngineRole;

/**
 * The load of an engine as reported by the engine itself.
 *
 * @param engine the engine's name
 * @param incarnation a number that increases with each start of the engine
 * @param sequence a number that increases with each report of one incarnation
 * @param role the current role
 * @param leaving whether the engine is about to stop
 * @param changing whether the engine is changing its role or loading a model
 * @param runningStreams the accepted streams that are not finished, including those that wait for prefill
 * @param queuedPrefillTokens the prompt tokens queued or being processed
 * @param usedKvTokens the KV cache held by accepted streams, in tokens, without the part that can be evicted
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
    /** Returns this report with its age increased by the given milliseconds. */
    public LoadReport withAdditionalAge(long moreMillis) {
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

    /** Returns whether this report is of a later incarnation, or of the same one with a higher sequence. */
    boolean newerThan(LoadReport other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
