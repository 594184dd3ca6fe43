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
import org.verbenatray.backends.PromptWork;
import org.verbenatray.openwork.EngineWork;
import org.verbenatray.time.ManualTime;

/** Where prompts are processed. */
public final class EnginePlannerTest {
    private static final PromptShape SHORT = prompt("s", 90, 300);

    private static final PromptShape LONG = prompt("l", 12_000, 3_000);

    private ManualTime time;

    private Map<String, EngineWork> others;

    private List<Backend> told;

    private EnginePlanner planner;

    private Backend prefillOne;

    private Backend prefillTwo;

    private Backend decodeOne;

    private Backend decodeTwo;

    private List<Backend> engines;

    @BeforeMethod
    public void start() {
        time = new ManualTime();
        others = new HashMap<>();
        told = new ArrayList<>();
        prefillOne = engine("p1", BackendStage.PREFILL);
        prefillTwo = engine("p2", BackendStage.PREFILL);
        decodeOne = engine("d1", BackendStage.DECODE);
        decodeTwo = engine("d2", BackendStage.DECODE);
        engines = List.of(prefillOne, prefillTwo, decodeOne, decodeTwo);
        planner = EnginePlanner.create(
                time,
                PrefixMemory.empty(),
                PromptTiming.unmeasured(),
                PlainChooser.create("z1", () -> 0),
                boot -> others.getOrDefault(boot, EngineWork.NONE),
                (engine, prompt, processed) -> told.add(engine));
    }

    @Test
    public void aShortPromptGoesStraightToADecodeEngineWithRoom() {
        EnginePlan plan = plan(SHORT, false);
        Assert.assertFalse(plan.handover());
    }

    @Test
    public void aShortPromptIsProcessedByAnIdlePrefillEngineWhileDecodeEnginesAreBusy() {
        others.put(decodeOne.entry().boot(), new EngineWork(100_000, 0, 30));
        others.put(decodeTwo.entry().boot(), new EngineWork(100_000, 0, 30));
        EnginePlan plan = plan(SHORT, false);
        Assert.assertTrue(plan.handover());
    }

    @Test
    public void aLongPromptIsNeverProcessedByADecodeEngineWhileThereIsAPrefillEngine() {
        others.put(prefillOne.entry().boot(), new EngineWork(5_000_000, 0, 30));
        others.put(prefillTwo.entry().boot(), new EngineWork(5_000_000, 0, 30));
        Assert.assertTrue(plan(LONG, false).handover());
    }

    @Test
    public void aLongPromptIsProcessedByADecodeEngineWhereThereIsNoOther() {
        EnginePlan plan = planner.plan(LONG, List.of(decodeOne, decodeTwo), List.of(), false);
        Assert.assertTrue(plan.engine().isPresent());
        Assert.assertFalse(plan.handover());
    }

    @Test
    public void aPromptGoesWhereItsBeginningIsKept() {
        Backend away = home(LONG) == prefillOne ? prefillTwo : prefillOne;
        planner.holds(away, LONG);
        EnginePlan plan = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(plan.engine().orElseThrow(), away);
        Assert.assertTrue(plan.fetchFrom().isEmpty());
        Assert.assertEquals(plan.keptTokens(), 12_000);
    }

    @Test
    public void whatABusyEngineKeepsIsFetchedByTheOther() {
        planner.holds(prefillOne, LONG);
        others.put(prefillOne.entry().boot(), new EngineWork(2_000_000, 0, 8));
        EnginePlan plan = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(plan.engine().orElseThrow(), prefillTwo);
        Assert.assertSame(plan.fetchFrom().orElseThrow(), prefillOne);
    }

    @Test
    public void theWorkOfOtherInstancesCountsAsMuchAsTheOwn() {
        Backend home = home(LONG);
        Backend other = home == prefillOne ? prefillTwo : prefillOne;
        others.put(home.entry().boot(), new EngineWork(700_000, 0, 3));
        Assert.assertSame(plan(LONG, false).engine().orElseThrow(), other);
        others.clear();
        home.opened(new PromptWork(700_000, false));
        Assert.assertSame(plan(LONG, false).engine().orElseThrow(), other);
        home.processed(new PromptWork(700_000, false));
        home.closed();
        Assert.assertSame(plan(LONG, false).engine().orElseThrow(), home);
    }

    @Test
    public void othersAreToldOnceOfAPromptThatAnEngineKeeps() {
        planner.holds(prefillOne, LONG);
        planner.holds(prefillOne, LONG);
        planner.holds(prefillOne, SHORT);
        Assert.assertEquals(told, List.of(prefillOne));
    }

    @Test
    public void aPromptThatWaitsAtAnEngineIsNotFetchedFromItButFollowedThere() {
        planner.given(prefillOne, LONG);
        others.put(prefillOne.entry().boot(), new EngineWork(30_000, 0, 1));
        EnginePlan there = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(there.engine().orElseThrow(), prefillOne);
        Assert.assertEquals(there.keptTokens(), 12_000);
        others.put(prefillOne.entry().boot(), new EngineWork(2_000_000, 0, 8));
        EnginePlan away = plan(prompt("l", 12_000, 2_000), false);
        Assert.assertSame(away.engine().orElseThrow(), prefillTwo);
        Assert.assertTrue(away.fetchFrom().isEmpty());
        Assert.assertEquals(away.keptTokens(), 0);
    }

    @Test
    public void onlyADeferredPromptWaitsForDeferredWork() {
        engines.forEach(engine -> others.put(engine.entry().boot(), new EngineWork(0, 900_000, 1)));
        Assert.assertTrue(plan(LONG, false).waitMillis() < 1);
        Assert.assertEquals(plan(LONG, true).waitMillis(), 900, 1);
    }

    private EnginePlan plan(PromptShape prompt, boolean deferred) {
        return planner.plan(prompt, engines, List.of(), deferred);
    }

    private Backend home(PromptShape prompt) {
        return EngineRanking.rank(prompt.affinityKey(), List.of(prefillOne, prefillTwo), engine -> 1)
                .get(0);
    }

    private static PromptShape prompt(String name, int shared, int own) {
        return new PromptShape(
                "m", shared + own, 10, List.of(new PromptPart(name, shared), new PromptPart(name + own, own)));
    }

    private static Backend engine(String id, BackendStage stage) {
        return Backend.of(new BackendEntry(id, "engines", URI.create("http://127.0.0.1:1"), "z1", stage, false, 64, 1));
    }
}
