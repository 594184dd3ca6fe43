package org.verbenatray.state;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.verbenatray.log.Appender;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Timing;

/** Appends a snapshot when the policy demands it and no other instance was faster. */
public final class SnapshotWriter {
    /** The time between two looks at the policy in milliseconds. */
    private static final long CHECK_MILLIS = 1_000;

    /** The time that an append may take in milliseconds. */
    private static final long APPEND_TIMEOUT_MILLIS = 10_000;

    /** The least time between two snapshots of this instance in milliseconds. */
    private static final long MIN_GAP_MILLIS = 30_000;

    /** Nanoseconds in one millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The state. */
    private final SharedFold fold;

    /** The reader of the log. */
    private final LogFollower follower;

    /** Appends the snapshots. */
    private final Appender appender;

    /** The decision. */
    private final SnapshotPolicy policy;

    /** The place of this instance among all. */
    private final double rank;

    /** The sources of time. */
    private final Timing timing;

    /** The newest snapshot at the last look. */
    private Optional<NewestSnapshot> seen = Optional.empty();

    /** When this instance first saw the newest snapshot. */
    private long seenAtNanos;

    /** Until when this instance appends no further snapshot. */
    private Deadline notBefore;

    /** Creates a writer. */
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
        this.rank = rankOf(instance);
        this.timing = timing;
        this.seenAtNanos = timing.ticker().nanos();
        this.notBefore = new Deadline(seenAtNanos);
    }

    /** Returns a writer that does nothing before {@link #start()} or {@link #check()}. */
    public static SnapshotWriter create(
            SharedFold fold,
            LogFollower follower,
            Appender appender,
            SnapshotPolicy policy,
            String instance,
            Timing timing) {
        return new SnapshotWriter(fold, follower, appender, policy, instance, timing);
    }

    /** Returns a number in [0, 1) that is spread evenly over the names of instances. */
    private static double rankOf(String instance) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(instance, StandardCharsets.UTF_8)
                .asInt();
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }

    /** Checks the policy every second from now on. */
    public void start() {
        check();
        timing.scheduler().runAt(timing.inMillis(CHECK_MILLIS), this::start);
    }

    /** Appends a snapshot if the policy demands it now; returns whether it did. */
    public boolean check() {
        if (!follower.isCaughtUp() || !claim()) {
            return false;
        }
        appender.submit(fold.snapshot(), Optional.empty(), timing.inMillis(APPEND_TIMEOUT_MILLIS));
        return true;
    }

    /** Decides and, when a snapshot is due, bars further ones for a while. */
    private synchronized boolean claim() {
        Optional<NewestSnapshot> newest = fold.newestSnapshot();
        if (!newest.equals(seen)) {
            seen = newest;
            seenAtNanos = timing.ticker().nanos();
        }
        if (!timing.passed(notBefore) || !policy.isDue(view())) {
            return false;
        }
        notBefore = timing.inMillis(MIN_GAP_MILLIS);
        return true;
    }

    /** Returns the view of the decision. */
    private SnapshotView view() {
        long covered = seen.map(NewestSnapshot::upTo).orElse(0L);
        return new SnapshotView(fold.position(), covered, follower.firstRetained(), ageMillis(), rank);
    }

    /** Returns the age of the newest snapshot, the larger of what the monotonic and the wall clock say. */
    private long ageMillis() {
        long ownMillis = (timing.ticker().nanos() - seenAtNanos) / NANOS_PER_MILLI;
        long wallMillis =
                seen.map(newest -> timing.clock().millis() - newest.atMillis()).orElse(0L);
        return Math.max(ownMillis, wallMillis);
    }
}
