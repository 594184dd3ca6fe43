package org.verbenatray.resilience;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.resilience.CrashLedger.Crash;
import org.verbenatray.time.ManualTime;

/** Requests that crash servers. */
public final class CrashLedgerTest {
    private final ManualTime time = new ManualTime();
    private final List<Crash> found = new ArrayList<>();
    private final CrashLedger ledger = CrashLedger.create(time, found::add);

    @Test
    public void aRequestThatEndedThreeServersIsRefused() {
        for (int server = 0; server < 3; server++) {
            Assert.assertFalse(ledger.refuses("bad"));
            ledger.broke("bad", "s" + server + "@1");
            ledger.ended("s" + server + "@1");
        }
        Assert.assertTrue(ledger.refuses("bad"));
        Assert.assertEquals(found.size(), 3);
    }

    @Test
    public void brokenConnectionsOfServersThatLiveOnCountForNothing() {
        for (int server = 0; server < 9; server++) {
            ledger.broke("innocent", "live" + server + "@1");
        }
        Assert.assertFalse(ledger.refuses("innocent"));
    }

    @Test
    public void aServerThatEndsLongAfterTheConnectionBrokeCountsForNothing() {
        ledger.broke("late", "late@1");
        time.advanceMillis(60_000);
        ledger.ended("late@1");
        Assert.assertTrue(found.stream().noneMatch(crash -> crash.fingerprint().equals("late")));
    }

    @Test
    public void crashesThatOtherInstancesFoundCountOnceEach() {
        Assert.assertTrue(ledger.learn(new Crash("told", "a@1")));
        Assert.assertFalse(ledger.learn(new Crash("told", "a@1")));
        ledger.learn(new Crash("told", "b@1"));
        Assert.assertFalse(ledger.refuses("told"));
        ledger.learn(new Crash("told", "c@1"));
        Assert.assertTrue(ledger.refuses("told"));
    }

    @Test
    public void crashesAreForgottenAfterAWhile() {
        for (int server = 0; server < 3; server++) {
            ledger.learn(new Crash("old", "o" + server + "@1"));
        }
        time.advanceMillis(600_000);
        ledger.forget();
        Assert.assertFalse(ledger.refuses("old"));
    }
}
