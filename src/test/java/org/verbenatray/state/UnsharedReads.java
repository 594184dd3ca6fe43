package org.verbenatray.state;

import java.util.List;
import org.verbenatray.log.KeyedLog;

/**
 * Reads of an instance that is alone in its group.
 *
 * @param pollTiming the timing of its reads
 */
public record UnsharedReads(KeyedFollower.PollTiming pollTiming) implements KeyedFollower.ReadSharing {
    /** Returns reads that wait for changes, with the given times in milliseconds. */
    public static UnsharedReads waiting(long minIntervalMillis, long waitMillis) {
        return new UnsharedReads(new KeyedFollower.PollTiming(minIntervalMillis, waitMillis));
    }

    @Override
    public void publish(long epoch, long from, long to, List<KeyedLog.Entry> changes) {}
}
