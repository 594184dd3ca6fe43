package org.verbenatray.instance;

import java.net.URI;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendDirectory;
import org.verbenatray.backends.BackendDirectory.Listing;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.time.ManualTime;

/** Whether an instance is cut off. */
public final class ReachTest {
    private ManualTime time;

    private BackendDirectory directory;

    private Reach reach;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        directory = BackendDirectory.empty(time, ended -> {});
        directory.replace(List.of(listing("e1"), listing("e2"), listing("e3")));
        reach = Reach.of(time, directory);
    }

    @Test
    public void anInstanceThatLosesTheListAndMostEnginesIsCutOffUntilOneIsBack() {
        reach.listLost();
        miss("e1", "e2");
        Assert.assertFalse(cutOff());
        time.advanceMillis(1_000);
        Assert.assertTrue(cutOff());
        directory.find("e1").orElseThrow().reached();
        Assert.assertFalse(cutOff());
    }

    @Test
    public void aStoreThatIsDownAloneCutsNobodyOff() {
        reach.listLost();
        miss("e1");
        time.advanceMillis(60_000);
        Assert.assertFalse(cutOff());
    }

    @Test
    public void enginesThatAreDownWhileTheListIsReadCutNobodyOff() {
        reach.listLost();
        reach.listRead();
        miss("e1", "e2", "e3");
        time.advanceMillis(60_000);
        Assert.assertFalse(cutOff());
    }

    @Test
    public void anEngineOutOfReachIsPassedOverUntilItAnswers() {
        Backend engine = directory.find("e1").orElseThrow();
        engine.missed();
        time.advanceMillis(60_000);
        Assert.assertTrue(engine.paused(time.nanos()));
        engine.reached();
        Assert.assertFalse(engine.paused(time.nanos()));
    }

    private boolean cutOff() {
        reach.look();
        return reach.cutOff();
    }

    private void miss(String... ids) {
        for (String id : ids) {
            directory.find(id).orElseThrow().missed();
        }
    }

    private static Listing listing(String id) {
        return new Listing(
                new BackendEntry(
                        id, "engines", URI.create("http://127.0.0.1:1"), "z1", BackendStage.DECODE, false, 64, 1),
                1);
    }
}
