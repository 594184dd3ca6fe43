package org.verbenatray.resilience;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests for {@link EvidenceExchange}: two instances that know the same crashes, of which one serves other requests. */
public final class EvidenceExchangeTest {
    private static final String PART = PartKey.of("m", "guilty");

    /** More runs than an instance needs to see, by itself or with others. */
    private static final int MANY = 50;

    /** Longer than the time between two crashes that count as one event. */
    private static final long APART_MILLIS = 700;

    private ManualTime time;

    /** The notices on their way from the busy instance to the idle one. */
    private List<byte[]> notices;

    private Instance busy;

    private Instance idle;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        notices = new ArrayList<>();
        busy = new Instance("busy");
        idle = new Instance("idle");
    }

    /** An instance without requests of its own never told a crashing part from an outage (review/9). */
    @Test
    public void runsWithoutThePartThatAnotherInstanceHasSeenTellItFromAnOutage() {
        crashServers(4);
        succeedAtBusy(MANY, "sound");
        Assert.assertFalse(idle.blocks(PART));
        deliver();
        Assert.assertTrue(idle.blocks(PART));
    }

    @Test
    public void nothingIsBlockedWhileNoInstanceSeesARunWithoutThePart() {
        crashServers(20);
        deliver();
        Assert.assertFalse(idle.blocks(PART));
        Assert.assertFalse(busy.blocks(PART));
    }

    @Test
    public void aPartThatSucceededLatelyAtAnotherInstanceNeedsMoreCrashes() {
        succeedAtBusy(1, "guilty");
        crashServers(4);
        succeedAtBusy(MANY, "sound");
        deliver();
        Assert.assertFalse(idle.blocks(PART));
        crashServers(4);
        Assert.assertTrue(idle.blocks(PART));
    }

    @Test
    public void aSuccessAtAnotherInstanceClearsThePart() {
        crashServers(4);
        succeedAtBusy(MANY, "sound");
        deliver();
        succeedAtBusy(1, "guilty");
        deliver();
        Assert.assertFalse(idle.blocks(PART));
        Assert.assertEquals(idle.ledger.crashCount(PART), 0);
    }

    /** A datagram that is lost is made up for by a later one. */
    @Test
    public void statementsAndSuccessesAreToldAgain() {
        crashServers(4);
        succeedAtBusy(MANY, "sound");
        busy.exchange.tell();
        notices.clear();
        time.advanceMillis(1_000);
        deliver();
        Assert.assertTrue(idle.blocks(PART));
        succeedAtBusy(1, "guilty");
        busy.exchange.tell();
        notices.clear();
        time.advanceMillis(200);
        deliver();
        Assert.assertFalse(idle.blocks(PART));
    }

    @Test
    public void nothingIsToldOfPartsUnderWhichNoServersEnded() {
        succeedAtBusy(MANY, "sound");
        time.advanceMillis(10_000);
        busy.exchange.tell();
        Assert.assertEquals(notices.size(), 0);
    }

    /** Each server that ends leaves its parts with a crash, until the next request with them succeeds. */
    @Test
    public void nothingIsToldOfPartsUnderWhichFewServersEnded() {
        crashServers(2);
        busy.exchange.tell();
        succeedAtBusy(1, "guilty");
        busy.exchange.tell();
        Assert.assertEquals(notices.size(), 0);
    }

    @Test
    public void unchangedStatementsAreToldOnceASecond() {
        crashServers(4);
        for (int round = 0; round < 50; round++) {
            time.advanceMillis(200);
            busy.exchange.tell();
        }
        Assert.assertTrue(notices.size() <= 11, "notices in 10 s: " + notices.size());
    }

    /** Hundreds of parts are cleared at once after an outage, more than a notice holds. */
    @Test
    public void eachOfManyPartsThatSucceedAtOnceIsTold() {
        for (int number = 0; number < 30; number++) {
            crashServers(3, PartKey.of("m", "part" + number));
        }
        for (int number = 0; number < 30; number++) {
            succeedAtBusy(1, "part" + number);
        }
        for (int round = 0; round < 6; round++) {
            deliver();
            time.advanceMillis(200);
        }
        Assert.assertEquals(idle.ledger.crashes().size(), 0);
    }

    @Test
    public void aMalformedNoticeChangesNothing() {
        crashServers(4);
        succeedAtBusy(MANY, "sound");
        busy.exchange.tell();
        byte[] notice = notices.get(0);
        for (int length = 1; length < notice.length; length++) {
            byte[] cut = new byte[length];
            System.arraycopy(notice, 0, cut, 0, length);
            Assert.assertTrue(EvidenceExchange.recognizes(cut));
            idle.exchange.receive(cut);
        }
        Assert.assertFalse(EvidenceExchange.recognizes("other".getBytes(StandardCharsets.US_ASCII)));
        Assert.assertFalse(EvidenceExchange.recognizes(new byte[0]));
    }

    /** Ends servers under the part, one after the other, and both instances learn it. */
    private void crashServers(int count) {
        crashServers(count, PART);
    }

    private void crashServers(int count, String part) {
        for (int server = 0; server < count; server++) {
            time.advanceMillis(APART_MILLIS);
            Crash crash = new Crash(part, "s" + time.nanos() + "@1");
            busy.ledger.recordCrash(crash);
            idle.ledger.recordCrash(crash);
        }
    }

    private void succeedAtBusy(int count, String part) {
        for (int number = 0; number < count; number++) {
            busy.ledger.recordSuccess("request", List.of(PartKey.of("m", part)));
        }
    }

    /** Passes what the busy instance tells now to the idle one. */
    private void deliver() {
        busy.exchange.tell();
        notices.forEach(idle.exchange::receive);
        notices.clear();
    }

    /** What one instance knows and tells. */
    private final class Instance {
        private final CrashLedger ledger;

        private final EvidenceExchange exchange;

        private Instance(String name) {
            ledger = CrashLedger.create(time, this::clear);
            exchange = EvidenceExchange.create(
                    name,
                    ledger,
                    () -> List.of(InetSocketAddress.createUnresolved("other", 1)),
                    (to, notice) -> notices.add(notice),
                    time);
        }

        private void clear(List<Crash> cleared) {
            exchange.onCleared(cleared);
        }

        boolean blocks(String part) {
            return ledger.partsBlockedUntil(List.of(part)).isPresent();
        }
    }
}
