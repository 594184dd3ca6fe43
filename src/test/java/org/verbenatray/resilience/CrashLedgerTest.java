package org.verbenatray.resilience;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests for {@link CrashLedger}. */
public final class CrashLedgerTest {
    private final ManualTime time = new ManualTime();
    private final CrashLedger ledger = CrashLedger.create(time, cleared -> {});

    @Test
    public void aRequestThatCrashedThreeServersIsBlocked() {
        for (int server = 0; server < 3; server++) {
            Assert.assertFalse(isBlocked("bad"));
            ledger.recordCrash(new Crash("bad", "s" + server + "@1"));
        }
        Assert.assertTrue(isBlocked("bad"));
        Assert.assertEquals(ledger.crashCount("bad"), 3);
    }

    @Test
    public void crashesDetectedByOtherInstancesCountOnceEach() {
        Assert.assertTrue(ledger.recordCrash(new Crash("told", "a@1")));
        Assert.assertFalse(ledger.recordCrash(new Crash("told", "a@1")));
        ledger.recordCrash(new Crash("told", "b@1"));
        Assert.assertFalse(isBlocked("told"));
        ledger.recordCrash(new Crash("told", "c@1"));
        Assert.assertTrue(isBlocked("told"));
    }

    /** A request that was merely there when servers went down was counted against for two minutes. */
    @Test
    public void aRequestThatRanToItsEndIsCleared() {
        ledger.recordCrash(new Crash("innocent", "a@1"));
        ledger.recordCrash(new Crash("innocent", "b@1"));
        ledger.recordSuccess("innocent");
        ledger.recordCrash(new Crash("innocent", "c@1"));
        Assert.assertEquals(ledger.crashCount("innocent"), 1);
    }

    /** Two minutes after its third crash, a request could crash three more servers. */
    @Test
    public void oneMoreCrashAfterTheBlockBlocksAgain() {
        for (int server = 0; server < 3; server++) {
            ledger.recordCrash(new Crash("bad", "s" + server + "@1"));
        }
        time.advanceMillis(130_000);
        ledger.removeExpired();
        Assert.assertFalse(isBlocked("bad"));
        ledger.recordCrash(new Crash("bad", "s3@1"));
        Assert.assertTrue(isBlocked("bad"));
    }

    @Test
    public void crashesExpire() {
        for (int server = 0; server < 3; server++) {
            ledger.recordCrash(new Crash("old", "o" + server + "@1"));
        }
        time.advanceMillis(600_000);
        ledger.removeExpired();
        Assert.assertFalse(isBlocked("old"));
    }

    private boolean isBlocked(String fingerprint) {
        return ledger.blockedUntil(fingerprint).isPresent();
    }
}
