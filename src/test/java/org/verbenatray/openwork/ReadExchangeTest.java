package org.verbenatray.openwork;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.log.FakeKeyedLog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.state.KeyedFollower;
import org.verbenatray.state.RetryPacer;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.ManualTime;

/** Instances that share the reads of one log, in simulated time with lost notices. */
public final class ReadExchangeTest {
    private static final long PACE_MILLIS = 600;

    /** The time within which each instance must know a change; three reads at the full pace would fit into it. */
    private static final long BOUND_MILLIS = 1_800;

    /** The time between two records that tell only that a server lives. */
    private static final long HEARTBEAT_MILLIS = 50;

    /** The share of notices that are lost. */
    private static final double LOSS = 0.02;

    private Random random;
    private ManualTime time;
    private FakeKeyedLog log;
    private List<Node> nodes;

    /** Whether reads wait for changes. */
    private boolean waiting;

    @BeforeMethod
    public void reset() {
        waiting = false;
    }

    @DataProvider
    public Object[][] groups() {
        return new Object[][] {{1}, {2}, {6}, {19}, {41}};
    }

    /** Each instance read the log at the full pace. */
    @Test(dataProvider = "groups")
    public void theReadsOfAGroupGrowLittleWithItsInstances(int count) {
        start(count);
        time.advanceMillis(3_000);
        int before = log.calls() - log.writes();
        time.advanceMillis(30_000);
        double reads = (log.calls() - log.writes() - before) / 30.0;
        double atFullPace = 1_000.0 / PACE_MILLIS;
        Assert.assertTrue(reads <= 1.2 * atFullPace + 0.05 * count, "reads a second: " + reads);
    }

    @Test(dataProvider = "groups")
    public void eachInstanceKnowsEachChangeInTimeAlsoWhenReadersEnd(int count) {
        start(count);
        time.advanceMillis(3_000);
        for (int change = 0; change < 40; change++) {
            put("key" + change % 5, "value" + change);
            if (count > 4 && change % 10 == 5) {
                endReader();
            }
            time.advanceMillis(BOUND_MILLIS);
            for (Node node : nodes) {
                if (!node.ended) {
                    Assert.assertEquals(node.values.get("key" + change % 5), "value" + change, node.name);
                }
            }
            time.advanceMillis(random.nextInt(700));
        }
    }

    /** A log that changes rarely, with values too large for a notice. */
    @Test(dataProvider = "groups")
    public void largeChangesThatOneReaderWaitsForAreKnownInTime(int count) {
        waiting = true;
        start(count);
        time.advanceMillis(3_000);
        int before = log.calls() - log.writes();
        for (int change = 0; change < 10; change++) {
            put("key", "x".repeat(20_000) + change);
            if (count > 4 && change == 5) {
                endReader();
            }
            time.advanceMillis(BOUND_MILLIS);
            for (Node node : nodes) {
                if (!node.ended) {
                    Assert.assertEquals(node.values.get("key"), "x".repeat(20_000) + change, node.name);
                }
            }
            time.advanceMillis(3_000);
        }
        double seconds = 10 * (BOUND_MILLIS + 3_000) / 1_000.0;
        double reads = (log.calls() - log.writes() - before) / seconds;
        Assert.assertTrue(reads <= 1.2 * 1_000.0 / PACE_MILLIS + 0.5 * count, "reads a second: " + reads);
    }

    @Test
    public void anInstanceThatHearsNothingReadsByItself() {
        start(19);
        nodes.forEach(node -> node.deaf = true);
        time.advanceMillis(3_000);
        put("key", "value");
        time.advanceMillis(BOUND_MILLIS);
        nodes.forEach(node -> Assert.assertEquals(node.values.get("key"), "value", node.name));
    }

    /** Only the fact that there were large changes was told, so that an instance that the log refuses missed them. */
    @Test
    public void instancesThatTheLogTurnsAwayLearnLargeChangesFromTheOthers() {
        waiting = true;
        start(24);
        time.advanceMillis(3_000);
        nodes.stream().skip(16).forEach(node -> node.turnedAway = true);
        byte[] value = new byte[30_000];
        random.nextBytes(value);
        String text = Base64.getEncoder().encodeToString(value);
        put("key", text);
        time.advanceMillis(4 * PACE_MILLIS);
        nodes.forEach(node -> Assert.assertEquals(node.values.get("key"), text, node.name));
    }

    @Test
    public void changesThatDoNotFollowWhatIsKnownAreNotApplied() {
        start(1);
        time.advanceMillis(3_000);
        Node only = nodes.get(0);
        only.follower.onPeerChanges(0, 1_000_000, 1_000_001, List.of(new KeyedLog.Entry("key", Optional.empty())));
        put("other", "value");
        time.advanceMillis(PACE_MILLIS + 1);
        Assert.assertEquals(only.values.get("other"), "value");
    }

    private void start(int count) {
        random = new Random(11);
        time = new ManualTime();
        log = waiting ? FakeKeyedLog.waiting(time) : new FakeKeyedLog();
        nodes = new ArrayList<>();
        if (!waiting) {
            beat();
        }
        Map<String, ListedInstance> listed = new HashMap<>();
        for (int number = 0; number < count; number++) {
            listed.put("i" + number, new ListedInstance(new InetSocketAddress("127.0.0.1", 1 + number), "d"));
        }
        for (int number = 0; number < count; number++) {
            Node node = new Node("i" + number, listed);
            nodes.add(node);
            time.runAt(Deadline.afterMillis(time.nanos(), random.nextInt(300)), node::start);
        }
    }

    /** Ends the instance that has read the log most often. */
    private void endReader() {
        nodes.stream()
                .filter(node -> !node.ended)
                .max((left, right) -> Integer.compare(left.told, right.told))
                .ifPresent(node -> {
                    node.ended = true;
                    node.follower.stop();
                });
    }

    private void beat() {
        put("heartbeat", "alive");
        time.runAt(Deadline.afterMillis(time.nanos(), HEARTBEAT_MILLIS), this::beat);
    }

    private void put(String key, String value) {
        log.put(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    /** One instance. */
    private final class Node implements KeyedFollower.Listener {
        private final String name;
        private final Map<String, String> values = new HashMap<>();
        private final ExchangePeers peers;
        private final ReadExchange.Receiver receiver =
                ReadExchange.Receiver.create(log -> Optional.ofNullable(this.follower));
        private KeyedFollower follower;
        private boolean turnedAway;
        private int told;
        private boolean ended;
        private boolean deaf;

        Node(String name, Map<String, ListedInstance> listed) {
            this.name = name;
            this.peers = ExchangePeers.of(name, "d");
            peers.replace(listed);
        }

        void start() {
            ReadExchange exchange = new ReadExchange(
                    "list",
                    new ReadExchange.Pace(() -> PACE_MILLIS, waiting, 50),
                    () -> peers.placeInGroup("list"),
                    peers::groupAddresses,
                    this::send);
            follower = KeyedFollower.startShared(
                    "list", new GuardedLog(), this, RetryPacer.create(() -> 0.5, time, time), exchange, time, time);
        }

        private void send(InetSocketAddress to, byte[] datagram) {
            told++;
            Node other = nodes.get(to.getPort() - 1);
            if (!other.ended && !other.deaf && other.follower != null && random.nextDouble() >= LOSS) {
                time.runAt(Deadline.afterMillis(time.nanos(), 1), () -> other.receiver.receive(datagram));
            }
        }

        /** The log, which turns this instance away while the flag is set. */
        private final class GuardedLog implements KeyedLog {
            @Override
            public CompletableFuture<Page> newestRecords(Optional<String> after) {
                return turnedAway ? refusal() : log.newestRecords(after);
            }

            @Override
            public CompletableFuture<List<Entry>> changes(long from, long waitMillis) {
                return turnedAway ? refusal() : log.changes(from, waitMillis);
            }

            @Override
            public CompletableFuture<Void> putAll(List<Entry> entries) {
                return log.putAll(entries);
            }

            private static <T> CompletableFuture<T> refusal() {
                return CompletableFuture.failedFuture(new LogUnavailableException("turned away", null));
            }
        }

        @Override
        public void onListing(List<KeyedLog.Entry> entries) {
            entries.forEach(this::apply);
        }

        @Override
        public void onRecord(KeyedLog.Entry entry) {
            apply(entry);
        }

        @Override
        public boolean apply(KeyedLog.Entry entry) {
            String value = new String(entry.value().orElse(new byte[0]), StandardCharsets.UTF_8);
            return !value.equals(values.put(entry.key(), value));
        }
    }
}
