package org.verbenatray.instance;

import java.util.List;
import java.util.function.IntSupplier;
import org.verbenatray.authority.LeaseFold;
import org.verbenatray.configuration.ConfigurationFold;
import org.verbenatray.log.LogService;
import org.verbenatray.once.CallFold;
import org.verbenatray.orders.OrderFold;
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
 * @param leases the leases
 * @param orders the journal of orders
 * @param calls the calls that may run at most once
 * @param fold the whole state
 * @param follower reads the log
 * @param appender appends to it
 * @param snapshots appends snapshots
 */
record LogParts(
        ConfigurationFold configuration,
        LeaseFold leases,
        OrderFold orders,
        CallFold calls,
        SharedFold fold,
        LogFollower follower,
        BatchingAppender appender,
        SnapshotWriter snapshots) {
    /** The age of the last read up to which the log counts as reachable, in milliseconds. */
    private static final long FRESH_MILLIS = 2_000;

    /** Returns parts that do not read yet. */
    static LogParts create(String instance, LogService log, IntSupplier liveInstances, Timing timing) {
        ConfigurationFold configuration = ConfigurationFold.create();
        LeaseFold leases = LeaseFold.create();
        OrderFold orders = OrderFold.create(leases);
        CallFold calls = CallFold.create();
        SharedFold fold = SharedFold.of(List.of(configuration, leases, orders, calls));
        LogFollower follower = LogFollower.create(fold, log, FollowerTimes.defaults(), timing);
        BatchingAppender appender = BatchingAppender.create(
                instance, log, follower, fold, AppenderLimits.defaults(), liveInstances, timing);
        SnapshotWriter snapshots =
                SnapshotWriter.create(fold, follower, appender, SnapshotPolicy.defaults(), instance, timing);
        return new LogParts(configuration, leases, orders, calls, fold, follower, appender, snapshots);
    }

    /** Returns whether the log can be read and written now. */
    boolean isReachable() {
        return follower.isFresh(FRESH_MILLIS) && appender.isSending();
    }

    /** Starts to read and to append snapshots. */
    void start() {
        follower.start();
        snapshots.start();
    }
}
