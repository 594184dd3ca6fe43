package org.verbenatray.instance;

import java.util.List;
import java.util.function.IntSupplier;
import org.verbenatray.configuration.ConfigurationFold;
import org.verbenatray.log.LogService;
import org.verbenatray.state.AppenderLimits;
import org.verbenatray.state.BatchingAppender;
import org.verbenatray.state.FollowerTimes;
import org.verbenatray.state.LogFollower;
import org.verbenatray.state.SharedFold;
import org.verbenatray.state.SnapshotPolicy;
import org.verbenatray.state.SnapshotWriter;
import org.verbenatray.time.Timing;

/**
 * The parts of an instance that follow the log and append to it.
 *
 * @param configuration the configuration part of the state
 * @param fold the whole state
 * @param follower reads the log
 * @param appender appends to it
 * @param snapshots appends snapshots
 */
record LogParts(
        ConfigurationFold configuration,
        SharedFold fold,
        LogFollower follower,
        BatchingAppender appender,
        SnapshotWriter snapshots) {
    /** Returns parts that do not read yet. */
    static LogParts create(String instance, LogService log, IntSupplier liveInstances, Timing timing) {
        ConfigurationFold configuration = ConfigurationFold.create();
        SharedFold fold = SharedFold.of(List.of(configuration));
        LogFollower follower = LogFollower.create(fold, log, FollowerTimes.defaults(), timing);
        BatchingAppender appender = BatchingAppender.create(
                instance, log, follower, fold, AppenderLimits.defaults(), liveInstances, timing);
        SnapshotWriter snapshots =
                SnapshotWriter.create(fold, follower, appender, SnapshotPolicy.defaults(), instance, timing);
        return new LogParts(configuration, fold, follower, appender, snapshots);
    }

    /** Starts to read and to append snapshots. */
    void start() {
        follower.start();
        snapshots.start();
    }
}
