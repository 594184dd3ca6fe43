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
                plan(StagePlanner.create(time), engines(2, 4), load(4, 1, false), load(0, 5, false), 10);
        Assert.assertEquals(change.orElseThrow().stage(), BackendStage.PREFILL);
        Assert.assertEquals(change.get().engine().entry().stage(), BackendStage.DECODE);
    }

    @Test
    public void nothingChangesWhileBothStagesHaveCapacity() {
        Assert.assertTrue(plan(StagePlanner.create(time), engines(2, 4), load(0, 1, false), load(0, 10, false), 50)
                .isEmpty());
    }

    @Test
    public void nothingChangesWhileAnEngineIsChanging() {
        Assert.assertTrue(plan(StagePlanner.create(time), engines(2, 4), load(9, 1, true), load(0, 1, false), 50)
                .isEmpty());
    }

    @Test
    public void theMinimumShareOfDecodeEnginesIsKept() {
        Assert.assertTrue(plan(StagePlanner.create(time), engines(4, 2), load(9, 1, false), load(0, 1, false), 50)
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
        StagePlanner planner = StagePlanner.create(time);
        for (int round = 0; round < 20; round++) {
            time.advanceMillis(500);
            report(engines, load(4, 1, false), load(0, 5, false));
            onlyInDomain.updateLoad(load(0, 0, false), time.nanos());
            Optional<StageChange> change = planner.planChange(engines, 64);
            Assert.assertTrue(change.isEmpty() || change.get().engine() != onlyInDomain);
        }
    }

    @Test
    public void nothingChangesWhileTheReportedLoadsAreStale() {
        List<Backend> engines = engines(2, 4);
        report(engines, load(9, 1, false), load(0, 1, false));
        time.advanceMillis(10_000);
        Assert.assertTrue(StagePlanner.create(time).planChange(engines, 64).isEmpty());
    }

    private Optional<StageChange> plan(
            StagePlanner planner, List<Backend> engines, BackendLoad prefill, BackendLoad decode, int rounds) {
        Optional<StageChange> change = Optional.empty();
        for (int round = 0; round < rounds && change.isEmpty(); round++) {
            time.advanceMillis(500);
            report(engines, prefill, decode);
            change = planner.planChange(engines, 64);
        }
        return change;
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
