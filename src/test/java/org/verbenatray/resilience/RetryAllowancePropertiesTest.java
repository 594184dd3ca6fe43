package org.verbenatray.resilience;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.log.FakeKeyedLog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.openwork.ExchangePeers;
import org.verbenatray.openwork.FleetShare;
import org.verbenatray.openwork.InstanceRegistration;
import org.verbenatray.openwork.ListedInstance;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.state.UnsharedReads;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/**
 * The retries that all instances of a fleet send without any request, while instances start, stop, are killed, and are
 * cut off from the list of instances.
 */
public final class RetryAllowancePropertiesTest {
    private static final long WINDOW_MILLIS = 10_000;

    /** The number of retries that all instances together may send in a window. */
    private static final int ALLOWANCE = 60;

    /** The longest time from the decision to its arrival at a server, in milliseconds. */
    private static final int MAX_ARRIVAL_MILLIS = 2_000;

    private static final long STEP_MILLIS = 200;

    private static final int STEPS = 6_000;

    @DataProvider
    public static Object[][] seeds() {
        return IntStream.range(0, 24).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void inEachWindowTheRetriesOfAllInstancesStayWithinTheAllowance(int seed) {
        Fleet fleet = new Fleet(new Random(seed));
        fleet.play();
        Collections.sort(fleet.arrivals);
        int most = 0;
        int first = 0;
        for (int last = 0; last < fleet.arrivals.size(); last++) {
            while (fleet.arrivals.get(last) - fleet.arrivals.get(first) > WINDOW_MILLIS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        Assert.assertTrue(most <= ALLOWANCE, "retries in a window: " + most);
        Assert.assertTrue(most > ALLOWANCE / 4, "the allowance was hardly used: " + most);
    }

    /** Instances that share a list and spend their allowances as soon as they can. */
    private static final class Fleet {
        private final Random random;
        private final ManualTime time = new ManualTime();
        private final FakeKeyedLog list = new FakeKeyedLog();
        private final List<Instance> running = new ArrayList<>();

        /** When retries arrived at their server, in milliseconds. */
        private final List<Long> arrivals = new ArrayList<>();

        private int started;

        Fleet(Random random) {
            this.random = random;
        }

        void play() {
            IntStream.range(0, 3).forEach(each -> start("i" + started++));
            for (int step = 0; step < STEPS; step++) {
                if (random.nextInt(150) == 0) {
                    disturb();
                }
                time.advanceMillis(STEP_MILLIS);
                running.forEach(this::spend);
            }
        }

        private void start(String name) {
            running.add(new Instance(name, list, time, random));
        }

        private void disturb() {
            Instance one = running.get(random.nextInt(running.size()));
            switch (random.nextInt(6)) {
                case 0, 1 -> IntStream.rangeClosed(0, random.nextInt(3)).forEach(each -> start("i" + started++));
                case 2 -> {
                    one.kill();
                    running.remove(one);
                    start(one.name);
                }
                case 3 -> one.registration.deregister();
                case 4 ->
                    running.stream()
                            .filter(each -> random.nextInt(2) == 0)
                            .forEach(each -> each.state = random.nextBoolean() ? Link.CUT : Link.SLOW);
                default -> running.forEach(each -> each.state = Link.OPEN);
            }
        }

        private void spend(Instance instance) {
            while (random.nextInt(4) > 0 && instance.budget.trySpend()) {
                arrivals.add(time.nanos() / 1_000_000 + random.nextInt(MAX_ARRIVAL_MILLIS));
            }
        }
    }

    /** One instance, with its own link to the list. */
    private static final class Instance implements KeyedLog {
        private final String name;
        private final FakeKeyedLog list;
        private final ManualTime time;
        private final Random random;
        private final RetryBudget budget;
        private final InstanceRegistration registration;
        private Link state = Link.OPEN;

        Instance(String name, FakeKeyedLog list, ManualTime time, Random random) {
            this.name = name;
            this.list = list;
            this.time = time;
            this.random = random;
            FleetShare share = FleetShare.create(time);
            this.budget = RetryBudget.create(time, 0, WINDOW_MILLIS, () -> ALLOWANCE * share.of(WINDOW_MILLIS));
            this.registration = InstanceRegistration.start(
                    this,
                    name,
                    new ListedInstance(new InetSocketAddress("127.0.0.1", 7), "d1"),
                    ExchangePeers.of(name, "d1"),
                    share,
                    new InstanceRegistration.ListReads(
                            RetryPacer.create(() -> 0.5, time, time),
                            UnsharedReads.waiting(
                                    InstanceRegistration.MIN_READ_INTERVAL_MILLIS, InstanceRegistration.READ_MILLIS)),
                    time,
                    time);
        }

        void kill() {
            state = Link.DEAD;
        }

        @Override
        public CompletableFuture<Page> newestRecords(Optional<String> after) {
            return respond(() -> list.newestRecords(after));
        }

        @Override
        public CompletableFuture<List<Entry>> changes(long from, long waitMillis) {
            CompletableFuture<List<Entry>> result = new CompletableFuture<>();
            await(from, Deadline.afterMillis(time.nanos(), waitMillis), result);
            return result;
        }

        @Override
        public CompletableFuture<Void> putAll(List<Entry> entries) {
            return respond(() -> list.putAll(entries));
        }

        /** Reads once there is a change, or at the end of the wait. */
        private void await(long from, Deadline end, CompletableFuture<List<Entry>> result) {
            if (state != Link.OPEN
                    || end.hasPassed(time.nanos())
                    || !list.changes(from, 0).join().isEmpty()) {
                forward(respond(() -> list.changes(from, 0)), result);
                return;
            }
            time.runAt(Deadline.afterMillis(time.nanos(), 50), () -> await(from, end, result));
        }

        private <T> CompletableFuture<T> respond(Supplier<CompletableFuture<T>> call) {
            CompletableFuture<T> result = new CompletableFuture<>();
            switch (state) {
                case OPEN -> forward(call.get(), result);
                case SLOW -> {
                    CompletableFuture<T> earlier = call.get();
                    later(random.nextInt(10_900), () -> forward(earlier, result));
                }
                case CUT ->
                    later(
                            random.nextInt(10_900),
                            () -> result.completeExceptionally(new LogUnavailableException("cut off", null)));
                default -> {}
            }
            return result;
        }

        private void later(long millis, Runnable action) {
            time.runAt(Deadline.afterMillis(time.nanos(), millis), () -> {
                if (state != Link.DEAD) {
                    action.run();
                }
            });
        }

        private static <T> void forward(CompletableFuture<T> from, CompletableFuture<T> to) {
            from.whenComplete((value, failure) -> {
                if (failure == null) {
                    to.complete(value);
                } else {
                    to.completeExceptionally(failure);
                }
            });
        }
    }

    /** How an instance reaches the list. */
    private enum Link {
        OPEN,
        /** Responses arrive late. */
        SLOW,
        /** Calls fail after some time. */
        CUT,
        /** The instance has ended. */
        DEAD
    }
}
