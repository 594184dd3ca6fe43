package org.verbenatray.authority;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
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
        return IntStream.range(0, 6)
                .boxed()
                .flatMap(part ->
                        Stream.of(LeaseTerms.ORDERS, LeaseTerms.DUTIES).map(terms -> new Object[] {part, terms}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void noTwoHoldersActAtOnceOrUnderOneTokenAndTokensRise(int part, LeaseTerms terms) {
        int actingSteps = 0;
        for (int seed = part; seed < SEEDS; seed += 6) {
            Course course = new Course(seed, terms);
            course.play();
            actingSteps += course.actingSteps;
        }
        Assert.assertTrue(actingSteps > SEEDS / 6 * STEPS / 20, "the lease was hardly used: " + actingSteps);
    }

    /** One course of events. */
    private static final class Course {
        private final long seed;
        private final LeaseTerms terms;
        private final Random random;
        private final ManualTime time = new ManualTime();
        private final RestorableLog log;
        private final List<Process> processes = new ArrayList<>();

        /** The process that has acted under each token. */
        private final Map<Long, Process> actors = new HashMap<>();

        private long highestToken;
        private int actingSteps;
        private int step;

        Course(long seed, LeaseTerms terms) {
            this.seed = seed;
            this.terms = terms;
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
                case 3, 4 -> process.clocks.cut(random.nextInt(25_000));
                case 5 -> process.clocks.suspend(random.nextInt(20_000));
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
                if (process.clocks.isSuspended()
                        || process.lease.activeFencingToken().isEmpty()) {
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

        /** One process. */
        private final class Process {
            private final String name;
            private final SimulatedProcess clocks = new SimulatedProcess(time);
            private final LogLease lease;

            Process(String name) {
                this.name = name;
                this.lease = LogLease.start(
                        log.view(clocks::isConnected),
                        name,
                        LeaseOptions.of(terms, step == 0),
                        clocks,
                        () -> time.nanos() / 1_000_000,
                        clocks);
            }
        }
    }
}
