package org.verbenatray.state;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.verbenatray.log.Appender;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/**
 * Appends a snapshot when the {@link SnapshotPolicy} demands it, so that instances can start without the whole log. If
 * several instances append one at about the same time, the fold rejects those that are not newer.
 *
 * <p>Thread-safe.
 */
public final class SnapshotWriter {
    /** The interval between two checks of the policy, in milliseconds. */
    private static final long CHECK_MILLIS = 1_000;

    /** The deadline of an append, in milliseconds from its start. */
    private static final long APPEND_TIMEOUT_MILLIS = 10_000;

    /** The minimum time between two snapshots of this instance, in milliseconds. */
    private static final long MIN_GAP_MILLIS = 30_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SharedFold fold;
    private final LogFollower follower;
    private final Appender appender;
    private final SnapshotPolicy policy;

    /** The value for {@link SnapshotStatus#staggerFraction()}. */
    private final double staggerFraction;

    private final Timing timing;

    /** The newest snapshot at the last check. */
    private Optional<NewestSnapshot> lastSeen = Optional.empty();

    /** The time at which this instance first saw {@link #lastSeen}, in nanoseconds of the ticker. */
    private long seenAtNanos;

    /** The earliest time of the next snapshot. */
    private Deadline earliestNext;

    private SnapshotWriter(
            SharedFold fold,
            LogFollower follower,
            Appender appender,
            SnapshotPolicy policy,
            String instance,
            Timing timing) {
        this.fold = fold;
        this.follower = follower;
        this.appender = appender;
        this.policy = policy;
        this.staggerFraction = staggerFractionOf(instance);
        this.timing = timing;
        this.seenAtNanos = timing.ticker().nanos();
        this.earliestNext = new Deadline(seenAtNanos);
    }

    /** Returns a writer that does nothing before a call of {@link #start()} or {@link #writeIfDue()}. */
    public static SnapshotWriter create(
            SharedFold fold,
            LogFollower follower,
            Appender appender,
            SnapshotPolicy policy,
            String instance,
            Timing timing) {
        return new SnapshotWriter(fold, follower, appender, policy, instance, timing);
    }

    /** Returns a hash of the instance name, spread evenly over [0, 1). */
    private static double staggerFractionOf(String instance) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(instance, StandardCharsets.UTF_8)
                .asInt();
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }

    /** Checks the policy now and then every second; must be called once only. */
    public void start() {
        writeIfDue();
        timing.scheduler().runAt(timing.deadlineAfterMillis(CHECK_MILLIS), this::start);
    }

    /** Submits a snapshot if the follower has caught up and the policy demands one; returns whether it did. */
    public boolean writeIfDue() {
        if (!follower.isCaughtUp() || !claimIfDue()) {
            return false;
        }
        appender.submit(fold.snapshot(), Optional.empty(), timing.deadlineAfterMillis(APPEND_TIMEOUT_MILLIS));
        return true;
    }

    /** Returns whether a snapshot is due; if so, no further one is due for {@link #MIN_GAP_MILLIS}. */
    private synchronized boolean claimIfDue() {
        Optional<NewestSnapshot> newest = fold.newestSnapshot();
        if (!newest.equals(lastSeen)) {
            lastSeen = newest;
            seenAtNanos = timing.ticker().nanos();
        }
        if (!timing.hasPassed(earliestNext) || !policy.isDue(status())) {
            return false;
        }
        earliestNext = timing.deadlineAfterMillis(MIN_GAP_MILLIS);
        return true;
    }

    private SnapshotStatus status() {
        long coveredUpTo = lastSeen.map(NewestSnapshot::upTo).orElse(0L);
        return new SnapshotStatus(fold.position(), coveredUpTo, follower.firstRetained(), ageMillis(), staggerFraction);
    }

    /** Returns the age of the newest snapshot in milliseconds: the larger of its monotonic and its wall-clock age. */
    private long ageMillis() {
        long monotonicMillis = (timing.ticker().nanos() - seenAtNanos) / NANOS_PER_MILLI;
        long wallMillis = lastSeen.map(newest -> timing.clock().millis() - newest.atMillis())
                .orElse(0L);
        return Math.max(monotonicMillis, wallMillis);
    }
}
