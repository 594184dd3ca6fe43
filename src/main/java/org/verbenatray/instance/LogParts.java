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
import org.verbenatray.state.FollowerSettings;
import org.verbenatray.state.LogFollower;
import org.verbenatray.state.SharedFold;
import org.verbenatray.state.SnapshotPolicy;
import org.verbenatray.state.SnapshotWriter;
import org.verbenatray.time.Timing;

/**
 * The components that follow the log, hold its state and append to it.
 *
 * @param configuration the configuration state
 * @param leases the lease state
 * @param orders the journal of orders to engines
 * @param calls the state of calls that may run at most once
 * @param fold the whole state
 * @param follower reads the log and applies its records to the state
 * @param appender appends records to the log
 * @param snapshots appends snapshots of the state
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
    /** The age of the last successful read up to which the log counts as reachable, in milliseconds. */
    private static final long MAX_READ_AGE_MILLIS = 2_000;

    /** Creates the components without starting them. */
    static LogParts create(String instance, LogService log, IntSupplier liveInstances, Timing timing) {
        ConfigurationFold configuration = ConfigurationFold.create();
        LeaseFold leases = LeaseFold.create();
        OrderFold orders = OrderFold.create(leases);
        CallFold calls = CallFold.create();
        SharedFold fold = SharedFold.of(List.of(configuration, leases, orders, calls));
        LogFollower follower = LogFollower.create(fold, log, FollowerSettings.defaults(), timing);
        BatchingAppender appender = BatchingAppender.create(
                instance, log, follower, fold, AppenderLimits.defaults(), liveInstances, timing);
        SnapshotWriter snapshots =
                SnapshotWriter.create(fold, follower, appender, SnapshotPolicy.defaults(), instance, timing);
        return new LogParts(configuration, leases, orders, calls, fold, follower, appender, snapshots);
    }

    /** Returns whether the log can be read and written now. */
    boolean isReachable() {
        return follower.isFresh(MAX_READ_AGE_MILLIS) && appender.isSending();
    }

    /** Starts to follow the log and to append snapshots. */
    void start() {
        follower.start();
        snapshots.start();
    }
}
