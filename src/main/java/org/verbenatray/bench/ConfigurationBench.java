package org.verbenatray.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.verbenatray.bench.FleetFiles.FleetSize;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.RecordBody.ConfigurationChange;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.log.RecordBody.Snapshot;
import org.verbenatray.log.RecordCodec;

/** Measures how fast changes of the configuration are in force at all followers of the log, and what they cost. */
public final class ConfigurationBench {
    /** The changes of the burst. */
    private static final int BURST = 50;

    /** The pause between two looks at the followers in nanoseconds. */
    private static final long LOOK_NANOS = 1_000_000;

    /** The time after which a change that is not in force everywhere ends the run, in nanoseconds. */
    private static final long PATIENCE_NANOS = 120_000_000_000L;

    /** The repetitions of timed steps, of which the median counts. */
    private static final int REPETITIONS = 9;

    /** The fleet whose configuration is changed. */
    private static final FleetSize CHANGED = new FleetSize(90, 125, 14);

    /** The failure domains. */
    private static final int DOMAINS = 9;

    /** Nanoseconds in one second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Prevents instances. */
    private ConfigurationBench() {}

    /**
     * Measures with the given numbers of followers and at the given sizes of fleets.
     *
     * @param changes the changes that two publishers append in turn
     * @param pauseMillis the pause between two of them
     */
    public static void run(
            PrintStream out, List<Integer> instances, int changes, long pauseMillis, List<Integer> customers) {
        BenchPoints points = BenchPoints.create(out);
        spread(2, Math.max(2, changes / 4), pauseMillis);
        for (int count : instances) {
            points.add("changes-in-force", spread(count, changes, pauseMillis));
        }
        state(new FleetSize(90, 125, 14));
        for (int count : customers) {
            points.add("configuration-state", state(new FleetSize(count, count * 25 / 18, 14)));
        }
        points.tables();
    }

    /** Measures the spread of changes one by one and in a burst. */
    private static Map<String, Object> spread(int instances, int changes, long pauseMillis) {
        try (LogFollowers followers = LogFollowers.start(instances)) {
            Times single = Times.create();
            Times burst = Times.create();
            ConcurrentNavigableMap<Long, Long> open = new ConcurrentSkipListMap<>();
            Times[] current = {Times.create()};
            followers.onAppliedByAll(last -> settle(open, last, current[0]));
            publishAll(followers, open);
            current[0] = single;
            long idleBefore = followers.cpuNanos();
            long idleStart = System.nanoTime();
            LockSupport.parkNanos(Math.max(1_000_000_000L, pauseMillis * 1_000_000L));
            double idleRate = (followers.cpuNanos() - idleBefore) / (double) (System.nanoTime() - idleStart);
            long reads = followers.reads();
            long cpu = followers.cpuNanos();
            long start = System.nanoTime();
            publish(followers, open, changes, pauseMillis);
            long took = System.nanoTime() - start;
            double changeCpu = followers.cpuNanos() - cpu - idleRate * took;
            double readRate = (followers.reads() - reads) / (took / NANOS_PER_SECOND);
            current[0] = burst;
            publish(followers, open, BURST, 0);
            Map<String, Object> point = new LinkedHashMap<>();
            point.put("instances", instances);
            point.put("changes", changes);
            point.put("accepted", accepted(followers));
            point.put("in_force_p50_ms", single.millis(50));
            point.put("in_force_p99_ms", single.millis(99));
            point.put("in_force_max_ms", single.maxMillis());
            point.put("burst", BURST);
            point.put("burst_p50_ms", burst.millis(50));
            point.put("burst_max_ms", burst.maxMillis());
            point.put("reads_per_second", readRate);
            point.put("idle_cpu_micros_per_second_per_follower", idleRate * 1e6 / instances);
            point.put("cpu_micros_per_change_per_follower", changeCpu / 1e3 / changes / instances);
            return point;
        }
    }

    /** Returns the number of accepted changes that the history shows. */
    private static long accepted(LogFollowers followers) {
        return followers.firstConfiguration().view().history().stream()
                .filter(entry -> entry.rejection().isEmpty())
                .count();
    }

    /** Appends the files of the fleet and waits until they are in force everywhere. */
    private static void publishAll(LogFollowers followers, ConcurrentNavigableMap<Long, Long> open) {
        List<FileChange> files = new ArrayList<>();
        fleetFiles(CHANGED).forEach((name, content) -> files.add(new FileChange(name, Optional.of(content), -1)));
        append(followers, open, "operator-0", new ConfigurationChange(files), -1);
        await(followers, 0);
    }

    /** Appends changes by two publishers in turn, each of which knows all changes before, and waits for the last. */
    private static void publish(
            LogFollowers followers, ConcurrentNavigableMap<Long, Long> open, int changes, long pauseMillis) {
        long due = System.nanoTime();
        long last = followers.position();
        for (int i = 0; i < changes; i++) {
            Map.Entry<String, String> file = FleetFiles.edited(CHANGED, (int) last + 1);
            FileChange change = new FileChange(file.getKey(), Optional.of(file.getValue()), last);
            last = append(followers, open, "operator-" + i % 2, new ConfigurationChange(List.of(change)), last);
            due += pauseMillis * 1_000_000L;
            LockSupport.parkNanos(due - System.nanoTime());
        }
        await(followers, last);
    }

    /** Appends a change and notes when it was accepted. */
    private static long append(
            LogFollowers followers,
            ConcurrentNavigableMap<Long, Long> open,
            String author,
            ConfigurationChange change,
            long follows) {
        LogRecord record = LogRecord.create(author, System.currentTimeMillis(), Optional.of(follows), change);
        open.put(followers.log().next(), System.nanoTime());
        return followers.log().append(List.of(record)).join();
    }

    /** Takes the times of the changes that all followers applied. */
    private static void settle(ConcurrentNavigableMap<Long, Long> open, long last, Times times) {
        long now = System.nanoTime();
        open.headMap(last, true)
                .keySet()
                .forEach(offset -> Optional.ofNullable(open.remove(offset)).ifPresent(since -> times.add(now - since)));
    }

    /** Waits until all followers applied an offset. */
    private static void await(LogFollowers followers, long offset) {
        long start = System.nanoTime();
        while (followers.position() < offset) {
            if (System.nanoTime() - start > PATIENCE_NANOS) {
                throw new IllegalStateException(
                        "offset " + offset + " is not in force everywhere; use fewer instances");
            }
            LockSupport.parkNanos(LOOK_NANOS);
        }
    }

    /** Measures the state of one instance at one size. */
    private static Map<String, Object> state(FleetSize size) {
        SortedMap<String, String> files = fleetFiles(size);
        Times merge = Times.create();
        Times change = Times.create();
        Times snapshot = Times.create();
        Times restore = Times.create();
        Snapshot taken = null;
        for (int i = 0; i < REPETITIONS; i++) {
            timed(merge, () -> FleetFiles.merged(files));
            FoldedFleet fleet = FoldedFleet.of(files);
            timed(change, () -> fleet.change(size, 1));
            taken = timed(snapshot, fleet.fold()::snapshot);
            Snapshot offered = taken;
            timed(restore, () -> FoldedFleet.empty().fold().restore(offered));
        }
        Map<String, Object> point = new LinkedHashMap<>();
        point.put("customers", size.customers());
        point.put("engines", size.engines());
        point.put("files", files.size());
        point.put(
                "file_bytes", files.values().stream().mapToLong(String::length).sum());
        point.put("merge_ms", merge.millis(50));
        point.put("change_ms", change.millis(50));
        point.put("snapshot_ms", snapshot.millis(50));
        point.put("restore_ms", restore.millis(50));
        point.put("snapshot_bytes", RecordCodec.encode(taken).length());
        point.put("heap_bytes", Heap.bytesOf(() -> FoldedFleet.of(fleetFiles(size))));
        return point;
    }

    /** Runs an action, adds its time and returns its result. */
    private static <T> T timed(Times times, Supplier<T> action) {
        long start = System.nanoTime();
        T result = action.get();
        times.add(System.nanoTime() - start);
        return result;
    }

    /** Returns the files of a fleet. */
    private static SortedMap<String, String> fleetFiles(FleetSize size) {
        return FleetFiles.of(
                size, DOMAINS, i -> "http://10." + i / 62_500 + "." + i / 250 % 250 + "." + i % 250 + ":80");
    }
}
