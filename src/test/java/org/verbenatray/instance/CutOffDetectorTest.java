package org.verbenatray.instance;

import java.net.URI;
import java.util.List;
import java.util.Set;
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
        directory.replace(
                List.of(listing("e1"), listing("e2"), listing("e3"), listing("e4")), Set.of("e1", "e2", "e3", "e4"));
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

    @Test
    public void enginesThatAnswerOthersAfterTheyFailedHereCutOffTheInstanceUntilOneAnswers() {
        poll(false);
        time.advanceMillis(100);
        Assert.assertFalse(updateAndRead());
        answerOthers("e1", "e2");
        Assert.assertFalse(updateAndRead());
        answerOthers("e3");
        Assert.assertTrue(updateAndRead());
        detector.onPoll(directory.find("e2").orElseThrow(), true);
        Assert.assertFalse(updateAndRead());
    }

    @Test
    public void serversThatRefuseNewConnectionsWhileTheyAnswerOthersCutOffTheInstance() {
        poll(true);
        directory.all().forEach(detector::onNotConnected);
        time.advanceMillis(100);
        answerOthers("e1", "e2", "e3");
        Assert.assertTrue(updateAndRead());
        Assert.assertFalse(directory.find("e1").orElseThrow().unreachable());
        detector.onConnected();
        Assert.assertFalse(updateAndRead());
    }

    @Test
    public void oneSilentEngineDoesNotCutOffTheInstance() {
        for (int round = 0; round < 20; round++) {
            time.advanceMillis(300);
            answerOthers("e1", "e2", "e3", "e4");
            detector.onPoll(directory.find("e1").orElseThrow(), false);
            detector.onPoll(directory.find("e2").orElseThrow(), true);
            Assert.assertFalse(updateAndRead());
        }
    }

    @Test
    public void enginesThatAnsweredOthersOnlyBeforeTheyFailedHereDoNotCutOffTheInstance() {
        answerOthers("e1", "e2", "e3", "e4");
        time.advanceMillis(500);
        poll(false);
        time.advanceMillis(500);
        Assert.assertFalse(updateAndRead());
    }

    @Test
    public void whatOthersReachedLongAgoDoesNotKeepTheInstanceCutOff() {
        poll(false);
        time.advanceMillis(100);
        answerOthers("e1", "e2", "e3", "e4");
        Assert.assertTrue(updateAndRead());
        time.advanceMillis(3_100);
        Assert.assertFalse(updateAndRead());
    }

    /** With few engines left, answers are rare; that was taken for a partition. */
    @Test
    public void enginesThatAreDownForAllDoNotCutOffTheInstanceFromTheOneThatIsLeft() {
        Backend left = directory.find("e4").orElseThrow();
        for (int round = 0; round < 10; round++) {
            detector.onPoll(left, true);
            detector.onPoll(directory.find("e1").orElseThrow(), false);
            detector.onPoll(directory.find("e2").orElseThrow(), false);
            detector.onPoll(directory.find("e3").orElseThrow(), false);
            time.advanceMillis(900);
            answerOthers("e4");
            Assert.assertFalse(updateAndRead());
        }
    }

    private void answerOthers(String... ids) {
        for (String id : ids) {
            detector.onAnsweredOther(directory.find(id).orElseThrow().entry().bootId(), 0);
        }
    }

    /** Polls all engines with the same result. */
    private void poll(boolean answered) {
        directory.all().forEach(engine -> detector.onPoll(engine, answered));
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
                        id,
                        "engines",
                        URI.create("http://127.0.0.1:1"),
                        "z1",
                        BackendStage.DECODE,
                        false,
                        64,
                        "v1",
                        false,
                        1),
                1);
    }
}
