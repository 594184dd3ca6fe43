package org.verbenatray.standin;

import java.util.Optional;

/**
 * The faults that a stand-in engine injects. Also the JSON body of {@code PUT /faults}.
 *
 * @param dropEvery the period, in lines of a response, at which a line is dropped; zero for never
 * @param repeatEvery the period, in lines of a response, at which a line is sent twice; zero for never
 * @param wrongDispatchEvery the period, in lines of a response, at which an extra line with the id of another dispatch
 *     is sent; zero for never
 * @param cutEvery the period, in lines of a response, at which the connection is closed; zero for never
 * @param crashOn the text that crashes the engine when a prompt contains it
 * @param restartMillis the time that a crashed engine is down, in milliseconds
 * @param ignoresFencing whether orders with an outdated fencing token are accepted; not evaluated by the stand-in
 * @param loadLagMillis the maximum age of reported load in milliseconds; zero for current load
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
    /** Returns an instance without faults and with a restart time of 2 seconds. */
    public static EngineFaults none() {
        return new EngineFaults(0, 0, 0, 0, Optional.empty(), 2_000, false, 0);
    }

    /** Returns a copy with the given crash text. */
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

    /** Returns a copy with the given restart time in milliseconds. */
    public EngineFaults withRestartMillis(long millis) {
        return new EngineFaults(
                dropEvery, repeatEvery, wrongDispatchEvery, cutEvery, crashOn, millis, ignoresFencing, loadLagMillis);
    }

    /** Returns a copy with the given maximum age of load reports in milliseconds. */
    public EngineFaults withLoadLagMillis(long millis) {
        return new EngineFaults(
                dropEvery, repeatEvery, wrongDispatchEvery, cutEvery, crashOn, restartMillis, ignoresFencing, millis);
    }

    /** Returns a copy with the given periods of lost, repeated, misattributed and cut lines; zero disables a fault. */
    public EngineFaults withDamagedLines(int drop, int repeat, int wrongDispatch, int cut) {
        return new EngineFaults(
                drop, repeat, wrongDispatch, cut, crashOn, restartMillis, ignoresFencing, loadLagMillis);
    }
}
