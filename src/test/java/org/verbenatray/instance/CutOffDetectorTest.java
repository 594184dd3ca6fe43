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

/** Tests of {@link CutOffDetector}. */
public final class CutOffDetectorTest {
    private ManualTime time;

    private BackendDirectory directory;

    private CutOffDetector detector;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        directory = BackendDirectory.empty(time, ended -> {});
        directory.replace(List.of(listing("e1"), listing("e2"), listing("e3")));
        detector = CutOffDetector.of(time, directory);
    }

    @Test
    public void anInstanceWithoutTheListAndMostEnginesIsCutOffUntilOneEngineIsReachable() {
        detector.onListUnreachable();
        markUnreachable("e1", "e2");
        Assert.assertFalse(updateAndRead());
        time.advanceMillis(1_000);
        Assert.assertTrue(updateAndRead());
        directory.find("e1").orElseThrow().markReachable();
        Assert.assertFalse(updateAndRead());
    }

    @Test
    public void anUnreachableListWithFewUnreachableEnginesDoesNotCutOffTheInstance() {
        detector.onListUnreachable();
        markUnreachable("e1");
        time.advanceMillis(60_000);
        Assert.assertFalse(updateAndRead());
    }

    @Test
    public void unreachableEnginesAloneDoNotCutOffTheInstance() {
        detector.onListUnreachable();
        detector.onListRead();
        markUnreachable("e1", "e2", "e3");
        time.advanceMillis(60_000);
        Assert.assertFalse(updateAndRead());
    }

    @Test
    public void anUnreachableEngineIsPausedUntilItResponds() {
        Backend engine = directory.find("e1").orElseThrow();
        engine.markUnreachable();
        time.advanceMillis(60_000);
        Assert.assertTrue(engine.paused(time.nanos()));
        engine.markReachable();
        Assert.assertFalse(engine.paused(time.nanos()));
    }

    private boolean updateAndRead() {
        detector.update();
        return detector.isCutOff();
    }

    private void markUnreachable(String... ids) {
        for (String id : ids) {
            directory.find(id).orElseThrow().markUnreachable();
        }
    }

    private static Listing listing(String id) {
        return new Listing(
                new BackendEntry(
                        id, "engines", URI.create("http://127.0.0.1:1"), "z1", BackendStage.DECODE, false, 64, "v1", 1),
                1);
    }
}
