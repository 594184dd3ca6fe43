package org.verbenatray.placement;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.placement.StagePlanner.StageChange;
import org.verbenatray.time.ManualTime;

/** Tests when the stage of an engine is changed. */
public final class StagePlannerTest {
    private final ManualTime time = new ManualTime();

    @Test
    public void anIdleDecodeEngineIsMovedWhilePromptsWaitForPrefill() {
        Optional<StageChange> change =
                plan(StagePlanner.create(time, engine -> 1), engines(2, 4), load(4, 1, false), load(0, 5, false), 10);
        Assert.assertEquals(change.orElseThrow().stage(), BackendStage.PREFILL);
        Assert.assertEquals(change.get().engine().entry().stage(), BackendStage.DECODE);
    }

    @Test
    public void nothingChangesWhileBothStagesHaveCapacity() {
        Assert.assertTrue(
                plan(StagePlanner.create(time, engine -> 1), engines(2, 4), load(0, 1, false), load(0, 10, false), 50)
                        .isEmpty());
    }

    @Test
    public void nothingChangesWhileAnEngineIsChanging() {
        Assert.assertTrue(
                plan(StagePlanner.create(time, engine -> 1), engines(2, 4), load(9, 1, true), load(0, 1, false), 50)
                        .isEmpty());
    }

    @Test
    public void theMinimumShareOfDecodeEnginesIsKept() {
        Assert.assertTrue(
                plan(StagePlanner.create(time, engine -> 1), engines(4, 2), load(9, 1, false), load(0, 1, false), 50)
                        .isEmpty());
    }

    @Test
    public void theLastDecodeEngineOfAFailureDomainIsNotMoved() {
        List<Backend> engines = new ArrayList<>(engines(2, 4));
        Backend onlyInDomain = Backend.of(new BackendEntry(
                "lonely",
                "engines",
                URI.create("http://127.0.0.1:1"),
                "z9",
                BackendStage.DECODE,
                false,
                64,
                "v1",
                false,
                1));
        engines.add(onlyInDomain);
        StagePlanner planner = StagePlanner.create(time, engine -> 1);
        for (int round = 0; round < 20; round++) {
            time.advanceMillis(500);
            report(engines, load(4, 1, false), load(0, 5, false));
            onlyInDomain.updateLoad(load(0, 0, false), time.nanos());
            List<StageChange> changes = planner.planChanges(engines, 64);
            Assert.assertTrue(changes.stream().noneMatch(change -> change.engine() == onlyInDomain));
        }
    }

    /** A large fleet whose prefill engines were all busy kept its split, as some engine had always not reported. */
    @Test
    public void severalSlowDecodeEnginesOfALargeFleetAreMovedWhilePrefillEnginesAreBusy() {
        List<Backend> engines = engines(20, 43);
        StagePlanner planner = StagePlanner.create(time, engine -> number(engine) % 3 == 0 ? 1.67 : 1);
        time.advanceMillis(10_000);
        report(engines.subList(0, 55), load(0, 1, false), load(0, 2, false));
        List<StageChange> changes = List.of();
        for (int round = 0; round < 20 && changes.isEmpty(); round++) {
            time.advanceMillis(500);
            report(engines.subList(0, 55), load(1, 1, false), load(0, 2, false));
            changes = planner.planChanges(engines, 12);
        }
        Assert.assertEquals(changes.size(), 4);
        changes.forEach(change -> {
            Assert.assertEquals(change.stage(), BackendStage.PREFILL);
            Assert.assertEquals(number(change.engine()) % 3, 0, "a slow engine");
        });
    }

    @Test
    public void aLargeFleetKeepsItsSplitWhileBothStagesAreUsedAsAimed() {
        for (int busyOf20 : new int[] {6, 9, 11}) {
            List<Backend> engines = engines(20, 43);
            StagePlanner planner = StagePlanner.create(time, engine -> 1);
            for (int round = 0; round < 40; round++) {
                time.advanceMillis(500);
                report(engines, load(0, 0, false), load(0, 3, false));
                report(engines.subList(0, busyOf20), load(0, 1, false), load(0, 3, false));
                Assert.assertEquals(planner.planChanges(engines, 12), List.of(), "busy: " + busyOf20);
            }
        }
    }

    @Test
    public void decodeEnginesThatAreUsedStayInALargeFleet() {
        List<Backend> engines = engines(20, 43);
        StagePlanner planner = StagePlanner.create(time, engine -> 1);
        Assert.assertEquals(planAll(planner, engines, load(2, 1, false), load(0, 30, false), 40), List.of());
    }

    private static int number(Backend engine) {
        return Integer.parseInt(engine.entry().id().substring(1));
    }

    @Test
    public void nothingChangesWhileTheReportedLoadsAreStale() {
        List<Backend> engines = engines(2, 4);
        report(engines, load(9, 1, false), load(0, 1, false));
        time.advanceMillis(10_000);
        Assert.assertTrue(
                StagePlanner.create(time, engine -> 1).planChanges(engines, 64).isEmpty());
    }

    private Optional<StageChange> plan(
            StagePlanner planner, List<Backend> engines, BackendLoad prefill, BackendLoad decode, int rounds) {
        List<StageChange> changes = planAll(planner, engines, prefill, decode, rounds);
        Assert.assertTrue(changes.size() <= 1);
        return changes.stream().findFirst();
    }

    private List<StageChange> planAll(
            StagePlanner planner, List<Backend> engines, BackendLoad prefill, BackendLoad decode, int rounds) {
        List<StageChange> changes = List.of();
        for (int round = 0; round < rounds && changes.isEmpty(); round++) {
            time.advanceMillis(500);
            report(engines, prefill, decode);
            changes = planner.planChanges(engines, 64);
        }
        return changes;
    }

    private void report(List<Backend> engines, BackendLoad prefill, BackendLoad decode) {
        engines.forEach(engine ->
                engine.updateLoad(engine.entry().stage() == BackendStage.PREFILL ? prefill : decode, time.nanos()));
    }

    private static BackendLoad load(int waiting, int running, boolean changingStage) {
        return new BackendLoad(waiting, running, 0, 1, 0, changingStage, 0);
    }

    private static List<Backend> engines(int prefillEngines, int decodeEngines) {
        List<Backend> engines = new ArrayList<>();
        for (int number = 0; number < prefillEngines + decodeEngines; number++) {
            BackendStage stage = number < prefillEngines ? BackendStage.PREFILL : BackendStage.DECODE;
            engines.add(Backend.of(new BackendEntry(
                    "e" + number, "s", URI.create("http://127.0.0.1:1"), "d", stage, false, 64, "v1", false, 1)));
        }
        return engines;
    }
}
