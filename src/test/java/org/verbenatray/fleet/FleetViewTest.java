package org.verbenatray.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.verbenatray.fleet.FleetFixtures.HOME;
import static org.verbenatray.fleet.FleetFixtures.MODEL;
import static org.verbenatray.fleet.FleetFixtures.NANOS_PER_MILLI;
import static org.verbenatray.fleet.FleetFixtures.report;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.configuration.EngineRole;

/** Tests of {@link FleetView}. */
public final class FleetViewTest {
    private PrefixIndex prefixIndex;
    private FleetView fleet;

    @BeforeMethod
    public void createView() {
        prefixIndex = PrefixIndex.create(16);
        fleet = FleetView.create(Set.of(HOME), FleetBounds.defaults(), prefixIndex);
        fleet.onConfiguration(FleetFixtures.configuration(Map.of(
                "e1", FleetFixtures.engine(HOME, EngineRole.BOTH),
                "e2", FleetFixtures.engine(HOME, EngineRole.BOTH),
                "f1", FleetFixtures.engine("away", EngineRole.BOTH),
                "f2", FleetFixtures.engine("away", EngineRole.BOTH))));
    }

    @Test
    public void theLoadOfADispatchThatEndedAfterTheReportIsRemovedOnce() {
        Dispatch dispatch = fleet.onDispatch("e1", 5_000, 0, 0).orElseThrow();
        fleet.onReport(report("e1", 1, 1, 5_000, 5_000), 100 * NANOS_PER_MILLI);
        dispatch.onFirstToken(200 * NANOS_PER_MILLI);
        dispatch.onFirstToken(201 * NANOS_PER_MILLI);
        assertEquals(view("e1", 201).queuedPrefillTokens(), 0);
        dispatch.onEnd(300 * NANOS_PER_MILLI);
        dispatch.onFailure(301 * NANOS_PER_MILLI);
        assertEquals(view("e1", 301).runningStreams(), 0);
        assertEquals(fleet.drainOwnChanges(), Map.of("e1", LoadChange.NONE));
    }

    @Test
    public void anOlderReportAndAnOlderIncarnationAreIgnored() {
        fleet.onReport(report("e1", 5, 7, 0, 0), 0);
        fleet.onReport(report("e1", 4, 1, 0, 0), NANOS_PER_MILLI);
        fleet.onReport(new LoadReport("e1", 0, 9, EngineRole.BOTH, true, false, 2, 0, 0, 0), NANOS_PER_MILLI);
        assertEquals(view("e1", 1).runningStreams(), 7);
        assertEquals(view("e1", 1).condition(), EngineCondition.READY);
    }

    @Test
    public void anEngineStaysLeavingUntilANewIncarnationIsSeen() {
        fleet.onReport(report("e1", 1, 0, 0, 0), 0);
        fleet.onLeaving("e1");
        fleet.onReport(report("e1", 2, 0, 0, 0), NANOS_PER_MILLI);
        fleet.onInstanceList(List.of(new ListedEngine("e1", 1, false)));
        assertEquals(view("e1", 1).condition(), EngineCondition.LEAVING);
        fleet.onInstanceList(List.of(new ListedEngine("e1", 2, false)));
        fleet.onLeaving("e1", 1);
        assertEquals(view("e1", 1).condition(), EngineCondition.READY);
    }

    @Test
    public void anEngineThatFailsRepeatedlyIsUnreachableUntilItsProbe() {
        for (int failure = 0; failure < 3; failure++) {
            assertEquals(view("e1", 0).condition(), EngineCondition.READY);
            fleet.onDispatch("e1", 1, 0, 0).orElseThrow().onFailure(0);
        }
        assertEquals(view("e1", 999).condition(), EngineCondition.UNREACHABLE);
        assertEquals(view("e1", 1_000).condition(), EngineCondition.READY);
        Dispatch probe = fleet.onDispatch("e1", 1, 0, 1_000 * NANOS_PER_MILLI).orElseThrow();
        assertEquals(view("e1", 1_001).condition(), EngineCondition.UNREACHABLE, "one probe at a time");
        probe.onFirstToken(1_002 * NANOS_PER_MILLI);
        assertEquals(view("e1", 1_002).condition(), EngineCondition.READY);
    }

    @Test
    public void aFailureOfADispatchFromBeforeARestartDoesNotCountForTheRestartedEngine() {
        fleet.onReport(report("e1", 1, 0, 0, 0), 0);
        List<Dispatch> lost = IntStream.range(0, 3)
                .mapToObj(number -> fleet.onDispatch("e1", 1, 0, 0).orElseThrow())
                .toList();
        fleet.onReport(new LoadReport("e1", 2, 1, EngineRole.BOTH, false, false, 0, 0, 0, 0), NANOS_PER_MILLI);
        lost.forEach(dispatch -> dispatch.onFailure(2 * NANOS_PER_MILLI));
        assertEquals(view("e1", 2).condition(), EngineCondition.READY);
    }

    @Test
    public void anEngineMissingInTheListIsUsedOnlyWhileItsOwnReportsAreFresh() {
        fleet.onInstanceList(List.of(new ListedEngine("e1", 1, false)));
        fleet.onReport(report("e1", 1, 0, 0, 0), 0);
        fleet.onInstanceList(List.of());
        assertEquals(view("e1", 2_000).condition(), EngineCondition.READY);
        assertEquals(view("e1", 2_001).condition(), EngineCondition.UNREACHABLE);
        assertEquals(view("e2", 9_000).condition(), EngineCondition.READY, "never listed");
    }

    @Test
    public void anOrderedChangeLastsUntilALaterReportShowsItCompleted() {
        fleet.onChangeOrdered("e1", 100 * NANOS_PER_MILLI);
        fleet.onReport(new LoadReport("e1", 1, 1, EngineRole.BOTH, false, false, 0, 0, 0, 60), 150 * NANOS_PER_MILLI);
        assertEquals(view("e1", 150).condition(), EngineCondition.CHANGING);
        fleet.onReport(
                new LoadReport("e1", 1, 2, EngineRole.DECODE, false, false, 0, 0, 0, 0), 5_000 * NANOS_PER_MILLI);
        assertEquals(view("e1", 5_000).condition(), EngineCondition.READY);
        Candidates candidates = fleet.candidates(MODEL, 5_000 * NANOS_PER_MILLI);
        assertEquals(candidates.prefillEngines().size(), 1);
        assertEquals(candidates.decodeEngines().size(), 2);
    }

    @Test
    public void aRestartedEngineHasNoLoadAndNoCache() {
        fleet.onReport(report("e1", 9, 5, 100, 100), 0);
        Dispatch lost = fleet.onDispatch("e1", 2_000, 0, NANOS_PER_MILLI).orElseThrow();
        prefixIndex.onDispatch("e1", List.of(7L));
        fleet.onReport(new LoadReport("e1", 2, 1, EngineRole.BOTH, false, false, 4, 0, 0, 0), 2 * NANOS_PER_MILLI);
        lost.onFailure(3 * NANOS_PER_MILLI);
        assertEquals(view("e1", 3).runningStreams(), 4, "the restart removed the load of the dispatch");
        assertEquals(prefixIndex.size(), 0);
    }

    @Test
    public void enginesOfOtherFailureDomainsAreKnownOnlyWhileOffered() {
        assertEquals(fleet.views(0).size(), 2);
        fleet.onDomainDigest(new DomainDigest("away", 2, 0, 0, List.of(report("f1", 1, 3, 0, 0))), 0);
        assertEquals(view("f1", 0).runningStreams(), 3);
        fleet.onPeerLoad("f1", new LoadChange(2, 0, 0), 0, NANOS_PER_MILLI);
        assertEquals(view("f1", 1).runningStreams(), 5);
        fleet.onDomainDigest(new DomainDigest("away", 1, 0, 0, List.of()), NANOS_PER_MILLI);
        assertTrue(fleet.view("f1", 0).isPresent(), "no report includes the dispatch to it yet");
        fleet.onPeerLoad("f1", new LoadChange(-2, 0, 0), 0, NANOS_PER_MILLI);
        fleet.onReport(report("f1", 2, 3, 0, 0), 100 * NANOS_PER_MILLI);
        fleet.onDomainDigest(new DomainDigest("away", 1, 0, 0, List.of(report("f2", 1, 0, 0, 0))), 0);
        assertTrue(fleet.view("f1", 0).isEmpty());
        assertTrue(fleet.view("f2", 0).isPresent());
    }

    @Test
    public void aDigestOffersTheLeastLoadedEngineFirstAndNoLeavingEngine() {
        fleet.onReport(report("e1", 1, 5, 0, 0), 0);
        fleet.onReport(report("e2", 1, 1, 0, 0), 0);
        assertEquals(fleet.digest(HOME, 0).offers().get(0).engine(), "e2");
        fleet.onLeaving("e2");
        DomainDigest digest = fleet.digest(HOME, 0);
        assertEquals(digest.offers().size(), 1);
        assertEquals(digest.runningStreams(), 5);
    }

    private EngineView view(String engine, long millis) {
        return fleet.view(engine, millis * NANOS_PER_MILLI).orElseThrow();
    }
}
