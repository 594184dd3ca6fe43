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

/** The lease of those who give orders. */
public final class LogLeaseTest {
    private ManualTime time;
    private FakeLog log;

    /** How far the wall clock is ahead of the monotonic one, in milliseconds. */
    private long wallAhead;

    @BeforeMethod
    public void begin() {
        time = new ManualTime();
        log = new FakeLog();
        wallAhead = 0;
    }

    @Test
    public void oneOfSeveralHoldsTheLeaseAndItsNumberIsAboveZero() {
        LogLease first = start("a");
        LogLease second = start("b");
        time.advanceMillis(4_000);
        Assert.assertTrue(first.authority().isPresent());
        Assert.assertTrue(first.authority().getAsLong() > 0);
        Assert.assertTrue(second.authority().isEmpty());
    }

    @Test
    public void aHolderThatWasSuspendedMayNotActThoughItsMonotonicClockStoodStill() {
        LogLease lease = start("a");
        time.advanceMillis(1_000);
        Assert.assertTrue(lease.authority().isPresent());
        wallAhead += 30_000;
        Assert.assertTrue(lease.authority().isEmpty());
    }

    @Test
    public void aHolderThatCannotRenewStopsBeforeAnotherMayAct() {
        LogLease first = start("a");
        time.advanceMillis(1_000);
        log.refused = "a";
        LogLease second = start("b");
        for (int step = 0; step < 400; step++) {
            time.advanceMillis(100);
            Assert.assertFalse(
                    first.authority().isPresent() && second.authority().isPresent(), "two holders at once");
        }
        Assert.assertTrue(second.authority().isPresent());
    }

    @Test
    public void theNumberRisesWithEachHolder() {
        LogLease first = start("a");
        time.advanceMillis(1_000);
        long number = first.authority().getAsLong();
        first.stop();
        LogLease second = start("b");
        time.advanceMillis(40_000);
        Assert.assertTrue(second.authority().getAsLong() > number);
    }

    @Test
    public void aNewHolderWaitsForLateOrdersOfTheFormerOne() {
        LogLease first = start("a");
        time.advanceMillis(1_000);
        first.stop();
        long lastAct = time.nanos();
        LogLease second = start("b");
        while (second.authority().isEmpty()) {
            time.advanceMillis(100);
        }
        Assert.assertTrue(time.nanos() - lastAct >= 15_000_000_000L);
    }

    private LogLease start(String name) {
        return LogLease.start(log.of(name), name, time, () -> time.nanos() / 1_000_000 + wallAhead, time);
    }

    /** A conditional log in memory. */
    private static final class FakeLog {
        private final List<byte[]> records = new ArrayList<>();
        private String refused = "";

        private ConditionalLog of(String name) {
            return new ConditionalLog() {
                @Override
                public CompletableFuture<OptionalLong> appendAt(long end, byte[] content) {
                    if (refused.equals(name)) {
                        return CompletableFuture.failedFuture(new IllegalStateException("refused"));
                    }
                    if (end != records.size()) {
                        return CompletableFuture.completedFuture(OptionalLong.empty());
                    }
                    records.add(content);
                    return CompletableFuture.completedFuture(OptionalLong.of(end));
                }

                @Override
                public CompletableFuture<Void> append(byte[] content) {
                    records.add(content);
                    return CompletableFuture.completedFuture(null);
                }

                @Override
                public CompletableFuture<Tail> read(long from, long waitMillis) {
                    return CompletableFuture.completedFuture(new Tail(
                            records.size(),
                            List.copyOf(records.subList((int) Math.min(from, records.size()), records.size()))));
                }
            };
        }
    }
}
