package org.verbenatray.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.log.FakeKeyedLog;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.state.KeyedFollower.PollTiming;
import org.verbenatray.time.ManualTime;

/** The calls that one instance, which follows several topics, makes to the store while it does not answer. */
public final class StoreCallsTest {
    private static final int TOPICS = 4;

    private static final PollTiming TIMING = new PollTiming(1_000, 0);

    private ManualTime time;
    private FakeKeyedLog log;
    private List<Integer> caughtUp;
    private List<String> applied;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        log = new FakeKeyedLog();
        caughtUp = new ArrayList<>();
        applied = new ArrayList<>();
        RetryPacer pacer = RetryPacer.create(() -> 0.5, time, time);
        for (int topic = 0; topic < TOPICS; topic++) {
            int number = topic;
            KeyedFollower.start("t" + topic, log, new Recorder(number), () -> TIMING, pacer, time, time);
        }
        time.advanceMillis(2_500);
    }

    /** Each topic was read four times a second, so that an outage cost many times what normal service does. */
    @Test
    public void anOutageCostsLittleMoreThanACallASecondInAll() {
        log.setDown(true);
        int before = log.calls();
        time.advanceMillis(10_000);
        Assert.assertTrue(log.calls() - before <= 16, "calls in 10 s of outage: " + (log.calls() - before));
    }

    @Test
    public void allTopicsAreReadWithinASecondOfTheEndOfAnOutage() {
        log.setDown(true);
        time.advanceMillis(10_000);
        log.setDown(false);
        caughtUp.clear();
        time.advanceMillis(1_000);
        for (int topic = 0; topic < TOPICS; topic++) {
            Assert.assertTrue(caughtUp.contains(topic), "topic " + topic + " was not read, only " + caughtUp);
        }
    }

    @Test
    public void aShortFailureIsRepeatedSoon() {
        log.setDown(true);
        time.advanceMillis(1_000);
        log.setDown(false);
        caughtUp.clear();
        time.advanceMillis(500);
        Assert.assertFalse(caughtUp.isEmpty());
    }

    /** An exception in one record ended the reads of its topic for good. */
    @Test
    public void aRecordThatCannotBeProcessedDoesNotKeepLaterOnesAway() {
        log.put("bad", Optional.of(new byte[] {1}));
        log.put("good", Optional.of(new byte[] {1}));
        time.advanceMillis(2_000);
        Assert.assertTrue(applied.contains("good"));
        caughtUp.clear();
        time.advanceMillis(2_000);
        Assert.assertFalse(caughtUp.isEmpty());
    }

    /** Records which topics were read. */
    private final class Recorder implements KeyedFollower.Listener {
        private final int topic;

        Recorder(int topic) {
            this.topic = topic;
        }

        @Override
        public void onListing(List<KeyedLog.Entry> entries) {
            caughtUp.add(topic);
        }

        @Override
        public void onRecord(KeyedLog.Entry entry) {
            if (entry.key().equals("bad")) {
                throw new IllegalStateException("cannot be processed");
            }
            applied.add(entry.key());
        }

        @Override
        public void onCaughtUp() {
            caughtUp.add(topic);
        }
    }
}
