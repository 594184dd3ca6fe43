package org.verbenatray.resilience;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests for {@link ServerRuns}. */
public final class ServerRunsTest {
    private ManualTime time;
    private List<Crash> found;
    private ServerRuns runs;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        found = new ArrayList<>();
        runs = ServerRuns.create(time, found::add);
    }

    @Test
    public void aServerThatEndsAfterARunWasLostCounts() {
        runs.recordLost("bad", "s@1");
        Assert.assertEquals(found, List.of());
        runs.recordEnd("s@1");
        Assert.assertEquals(found, List.of(new Crash("bad", "s@1")));
    }

    /** An end that was known before the connection broke was not counted. */
    @Test
    public void aRunThatIsLostAfterItsServerEndedCounts() {
        runs.recordEnd("s@1");
        runs.recordLost("bad", "s@1");
        Assert.assertEquals(found, List.of(new Crash("bad", "s@1")));
    }

    @Test
    public void runsLostAtServersThatKeepRunningDoNotCount() {
        for (int server = 0; server < 9; server++) {
            runs.recordLost("innocent", "live" + server + "@1");
        }
        Assert.assertEquals(found, List.of());
    }

    /** A request whose caller had left was blamed for the end of its server ten seconds later. */
    @Test
    public void aServerThatEndsLongAfterTheRunWasLostDoesNotCount() {
        runs.recordLost("late", "s@1");
        time.advanceMillis(10_000);
        runs.recordEnd("s@1");
        Assert.assertEquals(found, List.of());
    }

    @Test
    public void aServerThatRespondsAfterItWasTakenForEndedLives() {
        runs.recordEnd("s@1");
        runs.recordAlive("s@1");
        runs.recordLost("innocent", "s@1");
        Assert.assertEquals(found, List.of());
    }

    /** A run that was late and then ran to its end was blamed for the next end of its server. */
    @Test
    public void aRunThatWasTakenForLostAndThenCompletedDoesNotCount() {
        runs.recordLost("late", "s@1");
        runs.recordLost("bad", "s@1");
        runs.recordCompleted("late", "s@1");
        runs.recordEnd("s@1");
        Assert.assertEquals(found, List.of(new Crash("bad", "s@1")));
    }

    /** Every response without a length would have counted against its request when its server crashed later. */
    @Test
    public void aResponseWithoutAMarkedEndDoesNotCountOnceItsServerIsFoundToLive() {
        List<String> proved = new ArrayList<>();
        runs.recordUnproved("innocent", "s@1", () -> proved.add("innocent"));
        runs.recordLost("bad", "s@1");
        runs.recordChecked("s@1", time.nanos());
        runs.recordEnd("s@1");
        Assert.assertEquals(found, List.of(new Crash("bad", "s@1")));
        Assert.assertEquals(proved, List.of("innocent"));
    }

    @Test
    public void aResponseWithoutAMarkedEndCountsIfItsServerHasEnded() {
        runs.recordChecked("s@1", time.nanos());
        time.advanceMillis(1);
        List<String> proved = new ArrayList<>();
        runs.recordUnproved("bad", "s@1", () -> proved.add("bad"));
        runs.recordChecked("s@1", time.nanos() - 1_000_000);
        runs.recordEnd("s@1");
        Assert.assertEquals(found, List.of(new Crash("bad", "s@1")));
        Assert.assertEquals(proved, List.of());
    }

    @Test
    public void whatCanNoLongerBeAttributedIsRemoved() {
        runs.recordLost("late", "s@1");
        runs.recordEnd("t@1");
        time.advanceMillis(60_000);
        runs.removeExpired();
        runs.recordEnd("s@1");
        runs.recordLost("other", "t@1");
        Assert.assertEquals(found, List.of());
    }
}
