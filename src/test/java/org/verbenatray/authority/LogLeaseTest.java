package org.verbenatray.authority;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.log.ConditionalLog;
import org.verbenatray.time.ManualTime;

/** Tests of {@link LogLease}. */
public final class LogLeaseTest {
    private ManualTime time;
    private FakeLog log;

    /** The lead of the wall clock over the monotonic clock in milliseconds. */
    private long wallLeadMillis;

    @BeforeMethod
    public void setUp() {
        time = new ManualTime();
        log = new FakeLog();
        wallLeadMillis = 0;
    }

    @Test
    public void onlyOneProcessHoldsTheLeaseAndItsFencingTokenIsPositive() {
        LogLease first = start("a");
        LogLease second = start("b");
        time.advanceMillis(4_000);
        Assert.assertTrue(first.activeFencingToken().isPresent());
        Assert.assertTrue(first.activeFencingToken().getAsLong() > 0);
        Assert.assertTrue(second.activeFencingToken().isEmpty());
    }

    @Test
    public void aHolderMayNotActAfterASuspensionThatStoppedItsMonotonicClock() {
        LogLease lease = start("a");
        time.advanceMillis(1_000);
        Assert.assertTrue(lease.activeFencingToken().isPresent());
        wallLeadMillis += 30_000;
        Assert.assertTrue(lease.activeFencingToken().isEmpty());
    }

    @Test
    public void aHolderThatCannotRenewStopsActingBeforeAnotherMayAct() {
        LogLease first = start("a");
        time.advanceMillis(1_000);
        log.rejectedName = "a";
        LogLease second = start("b");
        for (int step = 0; step < 400; step++) {
            time.advanceMillis(100);
            Assert.assertFalse(
                    first.activeFencingToken().isPresent()
                            && second.activeFencingToken().isPresent(),
                    "two holders at once");
        }
        Assert.assertTrue(second.activeFencingToken().isPresent());
    }

    @Test
    public void theFencingTokenIncreasesWithEachHolder() {
        LogLease first = start("a");
        time.advanceMillis(1_000);
        long fencingToken = first.activeFencingToken().getAsLong();
        first.stop();
        LogLease second = start("b");
        time.advanceMillis(40_000);
        Assert.assertTrue(second.activeFencingToken().getAsLong() > fencingToken);
    }

    @Test
    public void aNewHolderWaitsForLateOrdersOfTheFormerOne() {
        LogLease first = start("a");
        time.advanceMillis(1_000);
        first.stop();
        long stoppedNanos = time.nanos();
        LogLease second = start("b");
        while (second.activeFencingToken().isEmpty()) {
            time.advanceMillis(100);
        }
        Assert.assertTrue(time.nanos() - stoppedNanos >= 15_000_000_000L);
    }

    /** Each renewal ended a waiting read of each process, so that the lease cost a call a second and process. */
    @Test
    public void processesThatDoNotHoldTheLeaseReadItRarely() {
        start("a");
        for (int number = 0; number < 20; number++) {
            start("other" + number);
        }
        time.advanceMillis(10_000);
        int before = log.reads;
        time.advanceMillis(60_000);
        int readsEach = (log.reads - before) / 20;
        Assert.assertTrue(readsEach <= 15, "reads of each process in 60 s: " + readsEach);
    }

    private LogLease start(String name) {
        return LogLease.start(
                log.of(name),
                name,
                LeaseOptions.of(LeaseTerms.ORDERS, false),
                time,
                () -> time.nanos() / 1_000_000 + wallLeadMillis,
                time);
    }

    /** An in-memory conditional log that can reject the appends of one process. */
    private static final class FakeLog {
        private final List<byte[]> records = new ArrayList<>();
        private String rejectedName = "";
        private int reads;

        private ConditionalLog of(String name) {
            return new ConditionalLog() {
                @Override
                public CompletableFuture<OptionalLong> appendAt(long end, List<byte[]> contents) {
                    if (rejectedName.equals(name)) {
                        return CompletableFuture.failedFuture(new IllegalStateException("refused"));
                    }
                    if (end != records.size()) {
                        return CompletableFuture.completedFuture(OptionalLong.empty());
                    }
                    records.addAll(contents);
                    return CompletableFuture.completedFuture(OptionalLong.of(records.size() - 1));
                }

                @Override
                public CompletableFuture<Void> append(byte[] content) {
                    records.add(content);
                    return CompletableFuture.completedFuture(null);
                }

                @Override
                public CompletableFuture<Tail> read(long from, long waitMillis) {
                    reads++;
                    return CompletableFuture.completedFuture(new Tail(
                            records.size(),
                            List.copyOf(records.subList((int) Math.min(from, records.size()), records.size()))));
                }
            };
        }
    }
}
