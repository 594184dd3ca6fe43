package org.verbenatray.authority;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/**
 * Processes that share a lease in a log that is restored from older copies, while processes are suspended, cut off from
 * the log and restarted. After a restoration the next holder got the fencing token of the one before.
 */
public final class LogLeaseRestorePropertiesTest {
    private static final int STEP_MILLIS = 50;

    private static final int STEPS = 3_000;

    /** More seeds are run by hand: -Dlease.seeds=100000. */
    private static final int SEEDS = Integer.getInteger("lease.seeds", 60);

    @DataProvider
    public static Object[][] seeds() {
        return IntStream.range(0, 6).mapToObj(part -> new Object[] {part}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void noTwoHoldersActAtOnceOrUnderOneTokenAndTokensRise(int part) {
        int actingSteps = 0;
        for (int seed = part; seed < SEEDS; seed += 6) {
            Course course = new Course(seed);
            course.play();
            actingSteps += course.actingSteps;
        }
        Assert.assertTrue(actingSteps > SEEDS / 6 * STEPS / 20, "the lease was hardly used: " + actingSteps);
    }

    /** One course of events. */
    private static final class Course {
        private final long seed;
        private final Random random;
        private final ManualTime time = new ManualTime();
        private final RestorableLog log;
        private final List<Process> processes = new ArrayList<>();

        /** The process that has acted under each token. */
        private final Map<Long, Process> actors = new HashMap<>();

        private long highestToken;
        private int actingSteps;
        private int step;

        Course(long seed) {
            this.seed = seed;
            this.random = new Random(seed);
            this.log = new RestorableLog(time, random);
            log.copy();
            for (int number = 0; number < 3; number++) {
                processes.add(new Process("p" + number));
            }
        }

        void play() {
            for (; step < STEPS; step++) {
                if (step % 10 == 0) {
                    log.copy();
                }
                disturb();
                time.advanceMillis(STEP_MILLIS);
                check();
            }
        }

        private void disturb() {
            int index = random.nextInt(processes.size());
            Process process = processes.get(index);
            switch (random.nextInt(900)) {
                case 0, 1, 2 -> log.restore(1_000 + random.nextInt(9_000));
                case 3, 4 -> process.cutUntil = Deadline.afterMillis(time.nanos(), random.nextInt(25_000));
                case 5 -> process.suspend(random.nextInt(20_000));
                case 6, 7 -> {
                    process.lease.stop();
                    processes.set(index, new Process(process.name));
                }
                default -> {}
            }
        }

        private void check() {
            Optional<Process> acting = Optional.empty();
            for (Process process : processes) {
                if (process.isSuspended() || process.lease.activeFencingToken().isEmpty()) {
                    continue;
                }
                long token = process.lease.activeFencingToken().getAsLong();
                Assert.assertTrue(acting.isEmpty(), "two holders act at once, seed " + seed);
                Process former = actors.putIfAbsent(token, process);
                Assert.assertTrue(former == null || former == process, "two holders with one token, seed " + seed);
                Assert.assertTrue(token >= highestToken, "a lower token after a higher one, seed " + seed);
                highestToken = token;
                acting = Optional.of(process);
                actingSteps++;
            }
        }

        /** One process, whose monotonic clock stands still while it is suspended. */
        private final class Process {
            private final String name;
            private Deadline cutUntil = new Deadline(0);
            private Deadline suspendedUntil = new Deadline(0);
            private long suspendedNanos;
            private final LogLease lease;

            Process(String name) {
                this.name = name;
                this.lease = LogLease.start(
                        log.view(this::reachesLog),
                        name,
                        step == 0,
                        this::ownNanos,
                        () -> time.nanos() / 1_000_000,
                        (when, task) -> runOwn(when, task));
            }

            void suspend(long millis) {
                if (!isSuspended()) {
                    suspendedUntil = Deadline.afterMillis(time.nanos(), millis);
                    suspendedNanos += millis * 1_000_000;
                }
            }

            boolean isSuspended() {
                return !suspendedUntil.hasPassed(time.nanos());
            }

            private boolean reachesLog() {
                return cutUntil.hasPassed(time.nanos()) && !isSuspended();
            }

            private long ownNanos() {
                return time.nanos() - suspendedNanos;
            }

            private void runOwn(Deadline when, Runnable task) {
                long waitNanos = Math.max(1_000_000, when.atNanos() - ownNanos());
                time.runAt(new Deadline(time.nanos() + waitNanos), () -> {
                    if (when.hasPassed(ownNanos()) && !isSuspended()) {
                        task.run();
                    } else {
                        runOwn(when, task);
                    }
                });
            }
        }
    }
}
