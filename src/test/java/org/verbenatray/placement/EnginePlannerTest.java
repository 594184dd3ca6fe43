package org.verbenatray.placement;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.PrefillWork;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.time.ManualTime;

/** Tests which engine prefills a prompt. */
public final class EnginePlannerTest {
    private static final PromptShape SHORT = prompt("s", 90, 300);

    private static final PromptShape LONG = prompt("l", 12_000, 3_000);

    private ManualTime time;

    private Map<String, EngineWork> remoteWork;

    private List<Backend> notified;

    private EnginePlanner planner;

    private Backend prefillOne;

    private Backend prefillTwo;

    private Backend decodeOne;

    private Backend decodeTwo;

    private List<Backend> engines;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        remoteWork = new HashMap<>();
        notified = new ArrayList<>();
        prefillOne = engine("p1", BackendStage.PREFILL);
        prefillTwo = engine("p2", BackendStage.PREFILL);
        decodeOne = engine("d1", BackendStage.DECODE);
        decodeTwo = engine("d2", BackendStage.DECODE);
        engines = List.of(prefillOne, prefillTwo, decodeOne, decodeTwo);
        planner = EnginePlanner.create(
                time,
                PrefixCacheIndex.empty(),
                PrefillTimeModel.untrained(),
                LeastLoadedChooser.create("z1", () -> 0),
                EngineView.ofEqualEngines(bootId -> remoteWork.getOrDefault(bootId, EngineWork.NONE)),
                (engine, prompt, processed) -> notified.add(engine));
    }

    @Test
    public void aShortPromptIsPrefilledByADecodeEngineWithCapacity() {
        PrefillPlan plan = plan(SHORT, false);
        Assert.assertFalse(plan.handover());
    }

    @Test
    public void aShortPromptIsPrefilledByAnIdlePrefillEngineWhileDecodeEnginesAreBusy() {
        remoteWork.put(decodeOne.entry().bootId(), new EngineWork(100_000, 0, 30));
        remoteWork.put(decodeTwo.entry().bootId(), new EngineWork(100_000, 0, 30));
        PrefillPlan plan = plan(SHORT, false);
        Assert.assertTrue(plan.handover());
    }

    @Test
    public void aLongPromptIsNeverPrefilledByADecodeEngineWhileThereIsAPrefillEngine() {
        remoteWork.put(prefillOne.entry().bootId(), new EngineWork(5_000_000, 0, 30));
        remoteWork.put(prefillTwo.entry().bootId(), new EngineWork(5_000_000, 0, 30));
        Assert.assertTrue(plan(LONG, false).handover());
    }

    @Test
    public void aLongPromptIsPrefilledByADecodeEngineIfThereIsNoPrefillEngine() {
        PrefillPlan plan = planner.planPrefill(LONG, List.of(decodeOne, decodeTwo), List.of(), false);
        Assert.assertTrue(plan.engine().isPresent());
        Assert.assertFalse(plan.handover());
    }

    @Test
    public void aPromptIsSentToTheEngineThatHasItsPrefixCached() {
        Backend away = home(LONG) == prefillOne ? prefillTwo : prefillOne;
        planner.recordCached(away, LONG);
        PrefillPlan plan = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(plan.engine().orElseThrow(), away);
        Assert.assertTrue(plan.fetchFrom().isEmpty());
        Assert.assertEquals(plan.cachedTokens(), 12_000);
    }

    @Test
    public void aPrefixCachedAtABusyEngineIsFetchedByAnotherEngine() {
        planner.recordCached(prefillOne, LONG);
        remoteWork.put(prefillOne.entry().bootId(), new EngineWork(2_000_000, 0, 8));
        PrefillPlan plan = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(plan.engine().orElseThrow(), prefillTwo);
        Assert.assertSame(plan.fetchFrom().orElseThrow(), prefillOne);
    }

    @Test
    public void theWorkOfOtherInstancesCountsAsMuchAsLocalWork() {
        Backend home = home(LONG);
        Backend other = home == prefillOne ? prefillTwo : prefillOne;
        remoteWork.put(home.entry().bootId(), new EngineWork(700_000, 0, 3));
        Assert.assertSame(plan(LONG, false).engine().orElseThrow(), other);
        remoteWork.clear();
        home.addRequest(new PrefillWork(700_000, false));
        Assert.assertSame(plan(LONG, false).engine().orElseThrow(), other);
        home.removePrefillWork(new PrefillWork(700_000, false));
        home.removeRequest();
        Assert.assertSame(plan(LONG, false).engine().orElseThrow(), home);
    }

    @Test
    public void theListenerIsNotifiedOnceOfALongPromptThatAnEngineHasCached() {
        planner.recordCached(prefillOne, LONG);
        planner.recordCached(prefillOne, LONG);
        planner.recordCached(prefillOne, SHORT);
        Assert.assertEquals(notified, List.of(prefillOne));
    }

    @Test
    public void aPrefixThatIsStillQueuedAtAnEngineIsUsedThereButNotFetchedFromIt() {
        planner.recordAssigned(prefillOne, LONG);
        remoteWork.put(prefillOne.entry().bootId(), new EngineWork(30_000, 0, 1));
        PrefillPlan there = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(there.engine().orElseThrow(), prefillOne);
        Assert.assertEquals(there.cachedTokens(), 12_000);
        remoteWork.put(prefillOne.entry().bootId(), new EngineWork(2_000_000, 0, 8));
        PrefillPlan away = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(away.engine().orElseThrow(), prefillTwo);
        Assert.assertTrue(away.fetchFrom().isEmpty());
        Assert.assertEquals(away.cachedTokens(), 0);
    }

    @Test
    public void onlyADeferredPromptWaitsForDeferredWork() {
        engines.forEach(engine -> remoteWork.put(engine.entry().bootId(), new EngineWork(0, 900_000, 1)));
        Assert.assertTrue(plan(LONG, false).expectedWaitMillis() < 1);
        Assert.assertEquals(plan(LONG, true).expectedWaitMillis(), 900, 1);
    }

    private PrefillPlan plan(PromptShape prompt, boolean deferred) {
        return planner.planPrefill(prompt, engines, List.of(), deferred);
    }

    private Backend home(PromptShape prompt) {
        return RendezvousRanking.rank(prompt.affinityKey(), List.of(prefillOne, prefillTwo), engine -> 1)
                .get(0);
    }

    private static PromptShape prompt(String name, int shared, int own) {
        return new PromptShape(
                "m", shared + own, 10, List.of(new PromptBlock(name, shared), new PromptBlock(name + own, own)));
    }

    private static Backend engine(String id, BackendStage stage) {
        return Backend.of(new BackendEntry(
                id, "engines", URI.create("http://127.0.0.1:1"), "z1", stage, false, 64, "v1", false, 1));
    }
}
