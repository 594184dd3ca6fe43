package org.verbenatray.standin;

import java.util.Optional;

/**
 * The faults that a stand-in engine shows.
 *
 * @param dropEvery every how many lines one line of a reply is lost, zero for never
 * @param repeatEvery every how many lines one line of a reply is sent twice, zero for never
 * @param wrongDispatchEvery every how many lines one carries the id of another dispatch, zero for never
 * @param cutEvery every how many lines the connection of a reply is closed, zero for never
 * @param crashOn the text in a prompt that crashes the engine
 * @param restartMillis the time that a crashed engine stays away in milliseconds
 * @param ignoresFencing whether orders with an old fencing number are taken
 * @param loadLagMillis the age of the load that is reported in milliseconds
 */
public record EngineFaults(
        int dropEvery,
        int repeatEvery,
        int wrongDispatchEvery,
        int cutEvery,
        Optional<String> crashOn,
        long restartMillis,
        boolean ignoresFencing,
        long loadLagMillis) {
    /** Returns no faults. */
    public static EngineFaults none() {
        return new EngineFaults(0, 0, 0, 0, Optional.empty(), 2_000, false, 0);
    }

    /** Returns these faults with a text that crashes the engine. */
    public EngineFaults withCrashOn(String text) {
        return new EngineFaults(
                dropEvery,
                repeatEvery,
                wrongDispatchEvery,
                cutEvery,
                Optional.of(text),
                restartMillis,
                ignoresFencing,
                loadLagMillis);
    }

    /** Returns these faults with another time that a crashed engine stays away, in milliseconds. */
    public EngineFaults withRestartMillis(long millis) {
        return new EngineFaults(
                dropEvery, repeatEvery, wrongDispatchEvery, cutEvery, crashOn, millis, ignoresFencing, loadLagMillis);
    }

    /** Returns these faults with load reports that lag, in milliseconds. */
    public EngineFaults withLoadLagMillis(long millis) {
        return new EngineFaults(
                dropEvery, repeatEvery, wrongDispatchEvery, cutEvery, crashOn, restartMillis, ignoresFencing, millis);
    }

    /** Returns these faults with damaged lines. */
    public EngineFaults withDamagedLines(int drop, int repeat, int wrongDispatch, int cut) {
        return new EngineFaults(
                drop, repeat, wrongDispatch, cut, crashOn, restartMillis, ignoresFencing, loadLagMillis);
    }
}
