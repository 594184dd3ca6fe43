package org.verbenatray.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.log.LogRecord;
import org.verbenatray.log.StoredRecord;
import org.verbenatray.standin.InMemoryLog;
import org.verbenatray.time.ManualTime;

/** Tests of {@link LogFollower}. */
public final class LogFollowerTest {
    private ManualTime time;
    private InMemoryLog log;
    private SharedFold fold;
    private LogFollower follower;
    private List<StoredRecord> history;

    @BeforeMethod
    public void prepare() {
        time = new ManualTime();
        log = InMemoryLog.create();
        history = new ArrayList<>();
        fold = SharedFold.of(List.of(new ChainFold()));
        follower = follower(fold);
    }

    @Test
    public void aNewcomerStartsFromTheNewestSnapshotWhoseTailIsRetained() {
        append(20);
        SharedFold whole = whole();
        add(snapshot(whole));
        append(5_000);
        SharedFold later = whole();
        add(snapshot(later));
        append(3);
        log.dropBefore(10);
        List<Long> leaps = new ArrayList<>();
        follower.onLeap(leaps::add);
        follower.start();
        time.advanceMillis(100);
        assertEquals(leaps, List.of(5_021L));
        assertEquals(fold.hash(), whole().hash());
        assertTrue(follower.isCaughtUp());
    }

    @Test
    public void retentionThatPassedThePositionNeedsASnapshotAndSaysSo() {
        append(5);
        log.dropBefore(3);
        follower.start();
        time.advanceMillis(100);
        Throwable failure = follower.failure().orElseThrow();
        assertTrue(failure instanceof HistoryLostException);
        assertTrue(failure.getMessage().contains("take a snapshot from a running instance"));
        SharedFold peer = whole();
        assertTrue(follower.offerSnapshot(peer.snapshot()));
        time.advanceMillis(10_000);
        assertEquals(fold.hash(), peer.hash());
        assertTrue(follower.failure().isEmpty());
    }

    @Test
    public void anUnansweredReadIsGivenUpAndItsLateAnswerIgnored() {
        append(1);
        log.setReadsHeld(true);
        follower.start();
        time.advanceMillis(1_000);
        assertFalse(follower.isFresh(60_000));
        log.setReadsHeld(false);
        time.advanceMillis(2_000);
        assertEquals(fold.position(), 1);
        log.releaseHeld();
        assertEquals(fold.position(), 1);
    }

    @Test
    public void anOutageAgesTheStateAndEndsWithinTheLongestBackoff() {
        follower.start();
        time.advanceMillis(100);
        log.setUnavailable(true);
        time.advanceMillis(30_000);
        assertFalse(follower.isFresh(29_000));
        assertTrue(follower.isFresh(31_000));
        log.setUnavailable(false);
        time.advanceMillis(2_000);
        assertTrue(follower.isFresh(2_001));
    }

    @Test
    public void onlyTheContiguousContinuationOfAPeerIsTaken() {
        append(4);
        assertEquals(follower.offer(log.records().subList(1, 4)), 0);
        assertEquals(follower.offer(log.records().subList(0, 2)), 2);
        assertEquals(follower.offer(List.of(log.records().get(1), log.records().get(3))), 0);
        assertEquals(follower.offer(log.records()), 2);
        assertEquals(fold.hash(), whole().hash());
    }

    @Test
    public void listenersHearEveryRecordOnceInOrderAndAFailingOneKeepsNobodyBack() {
        List<Long> heard = new ArrayList<>();
        follower.onApplied(applied -> {
            throw new IllegalStateException();
        });
        follower.onApplied(applied -> heard.add(applied.stored().offset()));
        follower.onApplied(applied -> follower.poke());
        append(3);
        follower.offer(log.records().subList(0, 1));
        follower.start();
        time.advanceMillis(100);
        assertEquals(follower.listenerFailures(), 3);
        assertEquals(heard, List.of(0L, 1L, 2L));
    }

    private LogFollower follower(SharedFold own) {
        return LogFollower.create(own, log, FollowerTimes.defaults(), time.timing());
    }

    private void append(int count) {
        for (int i = 0; i < count; i++) {
            add(LogRecord.create("a", 0, Optional.empty(), ChainFold.body("x")));
        }
    }

    private void add(LogRecord record) {
        long offset = log.append(List.of(record)).join();
        history.add(new StoredRecord(offset, record));
    }

    private static LogRecord snapshot(SharedFold of) {
        return LogRecord.create("a", 0, Optional.empty(), of.snapshot());
    }

    private SharedFold whole() {
        SharedFold replayed = SharedFold.of(List.of(new ChainFold()));
        history.forEach(replayed::apply);
        return replayed;
    }
}
