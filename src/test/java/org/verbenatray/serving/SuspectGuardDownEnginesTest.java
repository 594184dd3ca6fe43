package org.verbenatray.serving;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.fleet.FleetBounds;
import org.verbenatray.fleet.FleetFixtures;
import org.verbenatray.fleet.FleetView;
import org.verbenatray.fleet.LoadReport;
import org.verbenatray.fleet.PrefixIndex;
import org.verbenatray.suspects.Fingerprint;
import org.verbenatray.suspects.SuspectLimits;
import org.verbenatray.suspects.SuspectTable;
import org.verbenatray.time.ManualTime;

/** Tests which engines {@link SuspectGuard} takes for down. */
public final class SuspectGuardDownEnginesTest {
    private static final String ENGINE = "e1";
    private ManualTime time;
    private FleetView fleet;
    private SuspectGuard guard;

    @BeforeMethod
    public void reportACrash() {
        time = new ManualTime();
        fleet = FleetView.create(Set.of(FleetFixtures.HOME), FleetBounds.defaults(), PrefixIndex.create(16));
        fleet.onConfiguration(
                FleetFixtures.configuration(Map.of(ENGINE, FleetFixtures.engine(FleetFixtures.HOME, EngineRole.BOTH))));
        SuspectTable table = SuspectTable.create("i1", SuspectLimits.defaults());
        guard = SuspectGuard.create(
                table,
                (request, emittedTokens, excluded, required) -> Optional.empty(),
                fleet,
                time.timing(),
                UnaryOperator.identity());
        receive(1, 1, 0);
        time.advanceMillis(100);
        table.recordStart(Fingerprint.of("a", FleetFixtures.MODEL, "r".getBytes(StandardCharsets.UTF_8)), ENGINE);
        guard.recordCrash(ENGINE, 1);
    }

    @Test
    public void anEngineThatCrashedIsDownUntilItsNextIncarnationIsSeen() {
        assertTrue(guard.isDown(ENGINE));
        time.advanceMillis(400);
        assertTrue(guard.isDown(ENGINE));
        receive(2, 1, 0);
        assertFalse(guard.isDown(ENGINE));
    }

    @Test
    public void anEngineThatCouldNotBeReachedForATimeIsNotDownOnceItReportsAgain() {
        time.advanceMillis(400);
        receive(1, 2, 0);
        assertFalse(guard.isDown(ENGINE));
    }

    @Test
    public void aReportFromBeforeTheCrashShowsNothing() {
        time.advanceMillis(400);
        receive(1, 2, 450);
        assertTrue(guard.isDown(ENGINE));
    }

    /** Receives a load report of the given age from an incarnation of the engine. */
    private void receive(long incarnation, long sequence, long ageMillis) {
        LoadReport report =
                new LoadReport(ENGINE, incarnation, sequence, EngineRole.BOTH, false, false, 0, 0, 0, ageMillis);
        fleet.onReport(report, time.nanos());
    }
}
