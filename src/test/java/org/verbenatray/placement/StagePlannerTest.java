package org.verbenatray.placement;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.LoadReading;
import org.verbenatray.placement.StagePlanner.StageChange;
import org.verbenatray.time.ManualTime;

/** The decision to change the stage of an engine. */
public final class StagePlannerTest {
    private final ManualTime time = new ManualTime();

    @Test
    public void promptsThatWaitMoveAnIdleDecodeEngine() {
        Optional<StageChange> change =
                plan(StagePlanner.create(time), engines(2, 4), load(4, 1, false), load(0, 5, false), 10);
        Assert.assertEquals(change.orElseThrow().stage(), BackendStage.PREFILL);
        Assert.assertEquals(change.get().engine().entry().stage(), BackendStage.DECODE);
    }

    @Test
    public void nothingChangesWhileBothStagesHaveRoom() {
        Assert.assertTrue(plan(StagePlanner.create(time), engines(2, 4), load(0, 1, false), load(0, 10, false), 50)
                .isEmpty());
    }

    @Test
    public void nothingChangesWhileAnEngineIsChanging() {
        Assert.assertTrue(plan(StagePlanner.create(time), engines(2, 4), load(9, 1, true), load(0, 1, false), 50)
                .isEmpty());
    }

    @Test
    public void theLastDecodeEnginesStay() {
        Assert.assertTrue(plan(StagePlanner.create(time), engines(4, 2), load(9, 1, false), load(0, 1, false), 50)
                .isEmpty());
    }

    @Test
    public void theLastDecodeEngineOfAFailureDomainStays() {
        List<Backend> engines = new ArrayList<>(engines(2, 4));
        Backend lonely = Backend.of(new BackendEntry(
                "lonely", "engines", URI.create("http://127.0.0.1:1"), "z9", BackendStage.DECODE, false, 64, 1));
        engines.add(lonely);
        StagePlanner planner = StagePlanner.create(time);
        for (int round = 0; round < 20; round++) {
            time.advanceMillis(500);
            state(engines, load(4, 1, false), load(0, 5, false));
            lonely.loaded(load(0, 0, false), time.nanos());
            Optional<StageChange> change = planner.plan(engines, 64);
            Assert.assertTrue(change.isEmpty() || change.get().engine() != lonely);
        }
    }

    @Test
    public void nothingChangesOnAStaleView() {
        List<Backend> engines = engines(2, 4);
        state(engines, load(9, 1, false), load(0, 1, false));
        time.advanceMillis(10_000);
        Assert.assertTrue(StagePlanner.create(time).plan(engines, 64).isEmpty());
    }

    private Optional<StageChange> plan(
            StagePlanner planner, List<Backend> engines, LoadReading prefill, LoadReading decode, int rounds) {
        Optional<StageChange> change = Optional.empty();
        for (int round = 0; round < rounds && change.isEmpty(); round++) {
            time.advanceMillis(500);
            state(engines, prefill, decode);
            change = planner.plan(engines, 64);
        }
        return change;
    }

    private void state(List<Backend> engines, LoadReading prefill, LoadReading decode) {
        engines.forEach(engine ->
                engine.loaded(engine.entry().stage() == BackendStage.PREFILL ? prefill : decode, time.nanos()));
    }

    private static LoadReading load(int waiting, int running, boolean busy) {
        return new LoadReading(waiting, running, 0, 1, 0, busy, 0);
    }

    private static List<Backend> engines(int prefills, int decoders) {
        List<Backend> engines = new ArrayList<>();
        for (int number = 0; number < prefills + decoders; number++) {
            BackendStage stage = number < prefills ? BackendStage.PREFILL : BackendStage.DECODE;
            engines.add(Backend.of(
                    new BackendEntry("e" + number, "s", URI.create("http://127.0.0.1:1"), "d", stage, false, 64, 1)));
        }
        return engines;
    }
}
