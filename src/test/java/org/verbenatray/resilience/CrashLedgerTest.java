package org.verbenatray.resilience;

import java.util.List;
import java.util.stream.Stream;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests for {@link CrashLedger}. */
public final class CrashLedgerTest {
    private ManualTime time;
    private CrashLedger ledger;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        ledger = CrashLedger.create(time, cleared -> {});
    }

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
        ledger.recordSuccess("innocent", List.of());
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

    /** A part that no request survives is told from one that sound requests share. */
    @Test
    public void aPartUnderWhichFourServersEndedIsBlockedAndThePartsOfRequestsThatSucceedAreNot() {
        for (int server = 0; server < 4; server++) {
            Assert.assertFalse(isPartBlocked("guilty"));
            crashUnder(List.of("first", "guilty"), server);
            succeed("first", "sound");
        }
        Assert.assertTrue(isPartBlocked("guilty"));
        Assert.assertFalse(isPartBlocked("first"));
        Assert.assertFalse(isPartBlocked("sound"));
    }

    /** A part of all prompts would have been blocked by an outage of all servers, and nothing could clear it. */
    @Test
    public void noPartIsBlockedWhileNoRequestSucceeds() {
        for (int server = 0; server < 20; server++) {
            crashUnder(List.of("first"), server);
        }
        Assert.assertFalse(isPartBlocked("first"));
    }

    @Test
    public void aPartThatSucceededLatelyNeedsMoreCrashes() {
        succeed("rare");
        for (int server = 0; server < 4; server++) {
            crashUnder(List.of("rare"), server);
            succeed("other");
        }
        Assert.assertFalse(isPartBlocked("rare"));
        for (int server = 4; server < 8; server++) {
            crashUnder(List.of("rare"), server);
        }
        Assert.assertTrue(isPartBlocked("rare"));
    }

    @Test
    public void successesOfAnotherModelSayNothingOfAPart() {
        for (int server = 0; server < 9; server++) {
            crashUnder(List.of("first"), server);
            ledger.recordSuccess("sound", List.of(PartKey.of("other-model", "first")));
        }
        Assert.assertFalse(isPartBlocked("first"));
    }

    /** Requests that ran beside a crashing part were blocked for the servers that it ended. */
    @Test
    public void serversThatAPartEndedDoNotCountAgainstOtherRequests() {
        for (int server = 0; server < 4; server++) {
            crashUnder(List.of("guilty"), server);
            ledger.recordCrash(new Crash("innocent", "s" + server + "@1"));
            succeed("first");
        }
        Assert.assertFalse(isBlocked("innocent"));
        Assert.assertTrue(isPartBlocked("guilty"));
    }

    /** Where servers end every second, requests of several seconds hardly reach their end. */
    @Test
    public void aPartIsBlockedIfOnlyRunsWithoutItGoOnAfterTheirBeginning() {
        for (int server = 0; server < 4; server++) {
            Assert.assertFalse(isPartBlocked("guilty"));
            crashUnder(List.of("first", "guilty"), server);
            ledger.recordEstablished(keys("first", "sound"));
        }
        Assert.assertTrue(isPartBlocked("guilty"));
        Assert.assertFalse(isPartBlocked("first"));
        Assert.assertFalse(isPartBlocked("sound"));
    }

    @Test
    public void aPartWhoseRunsGoOnNeedsMoreCrashesAndTheSuccessOfOthers() {
        crashUnder(List.of("doubtful"), 0);
        ledger.recordEstablished(keys("doubtful"));
        for (int server = 1; server < 8; server++) {
            ledger.recordEstablished(keys("other"));
            succeed("other");
            Assert.assertFalse(isPartBlocked("doubtful"));
            crashUnder(List.of("doubtful"), server);
        }
        Assert.assertTrue(isPartBlocked("doubtful"));
    }

    private void crashUnder(List<String> parts, int server) {
        parts.forEach(part -> ledger.recordCrash(new Crash(PartKey.of("m", part), "s" + server + "@1")));
    }

    private void succeed(String... parts) {
        ledger.recordSuccess("sound", keys(parts));
    }

    private static List<String> keys(String... parts) {
        return Stream.of(parts).map(part -> PartKey.of("m", part)).toList();
    }

    private boolean isPartBlocked(String part) {
        return ledger.partsBlockedUntil(List.of(PartKey.of("m", part))).isPresent();
    }

    private boolean isBlocked(String fingerprint) {
        return ledger.blockedUntil(fingerprint).isPresent();
    }
}
