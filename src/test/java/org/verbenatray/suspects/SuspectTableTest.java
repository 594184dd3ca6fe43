package org.verbenatray.suspects;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of {@link SuspectTable}. */
public final class SuspectTableTest {
    private static final List<String> SERVERS = List.of("s1", "s2");

    private static final Fingerprint REQUEST = Fingerprint.of("customer", "model", new byte[] {1});

    private static final SuspectLimits LIMITS = new SuspectLimits(3, 2, 1_000, 3_000, 10_000, 500, 10);

    @Test
    public void aCrashReportedByTwoInstancesCountsOnce() {
        SuspectTable one = crashedOnce("one");
        SuspectTable two = crashedOnce("two");
        one.merge(two.digest(), 5);
        assertTrue(one.decide(REQUEST, SERVERS, 6) instanceof QuarantineDecision.RunIsolated);
    }

    @Test
    public void aSuspectThatCompletesAnIsolatedRunIsAlsoClearedAtPeers() {
        SuspectTable one = crashedOnce("one");
        SuspectTable two = crashedOnce("two");
        one.reserve(REQUEST, "s2", 5);
        two.merge(one.digest(), 5);
        assertEquals(two.reservedServers(6), Set.of("s2"));
        assertEquals(two.decide(REQUEST, SERVERS, 6), new QuarantineDecision.Wait(16));
        one.recordStart(REQUEST, "s2");
        one.recordEnd(REQUEST, true, 7);
        two.merge(one.digest(), 8);
        assertEquals(two.decide(REQUEST, SERVERS, 9), new QuarantineDecision.RunNormally(Optional.empty()));
        assertTrue(two.reservedServers(9).isEmpty());
    }

    @Test
    public void theReservedServerOfAnUnreachablePeerIsReleased() {
        SuspectTable one = crashedOnce("one");
        SuspectTable two = crashedOnce("two");
        one.reserve(REQUEST, "s2", 5);
        two.merge(one.digest(), 5);
        assertEquals(two.reservedServers(6), Set.of("s2"));
        two.removePeerRuns("one");
        assertTrue(two.reservedServers(6).isEmpty());
        assertTrue(two.decide(REQUEST, SERVERS, 6) instanceof QuarantineDecision.RunIsolated);
    }

    /** Only the reservations of peers expired, not an instance's own. */
    @Test
    public void anOwnReservationExpires() {
        SuspectTable table = crashedOnce("one");
        table.reserve(REQUEST, "s2", 5);
        assertEquals(table.reservedServers(504), Set.of("s2"));
        assertTrue(table.reservedServers(505).isEmpty());
    }

    @Test
    public void twoSuspectsNeverShareAServer() {
        SuspectTable table = crashedOnce("one");
        Fingerprint other = Fingerprint.of("customer", "model", new byte[] {2});
        table.recordStart(other, "s1");
        table.recordCrash("s1", "s1/2", 2);
        QuarantineDecision.RunIsolated first = (QuarantineDecision.RunIsolated) table.decide(REQUEST, SERVERS, 3);
        table.reserve(REQUEST, first.server(), 3);
        for (String server : SERVERS) {
            QuarantineDecision expected = server.equals(first.server())
                    ? new QuarantineDecision.Wait(13)
                    : new QuarantineDecision.RunIsolated(server);
            assertEquals(table.decide(other, List.of(server), 3), expected);
        }
    }

    @Test
    public void aBlockedRequestIsRejectedUntilItsBlockEndsAndThenRunsIsolatedOnce() {
        SuspectTable table = crashedOnce("one");
        table.recordStart(REQUEST, "s2");
        table.recordCrash("s2", "s2/1", 10);
        assertEquals(table.decide(REQUEST, SERVERS, 11), new QuarantineDecision.Reject(1_010));
        assertTrue(table.decide(REQUEST, SERVERS, 1_010) instanceof QuarantineDecision.RunIsolated);
        table.reserve(REQUEST, "s1", 1_010);
        table.recordStart(REQUEST, "s1");
        table.recordCrash("s1", "s1/2", 1_020);
        assertEquals(table.decide(REQUEST, SERVERS, 1_021), new QuarantineDecision.Reject(3_020));
    }

    @Test
    public void aRequestWithTokensBeforeEachCrashRunsNormallyOnceMoreThenIsolatedAndIsThenBlocked() {
        SuspectTable table = SuspectTable.create("one", LIMITS);
        for (int crash = 1; crash <= 3; crash++) {
            QuarantineDecision decision = table.decide(REQUEST, SERVERS, crash);
            assertEquals(decision instanceof QuarantineDecision.RunIsolated, crash == 3, "before crash " + crash);
            if (crash == 3) {
                table.reserve(REQUEST, "s1", crash);
            }
            table.recordStart(REQUEST, "s1");
            table.recordProgress(REQUEST);
            table.recordCrash("s1", "s1/" + crash, crash);
        }
        assertTrue(table.decide(REQUEST, SERVERS, 4) instanceof QuarantineDecision.Reject);
    }

    @Test
    public void aFullTableEvictsTheEntriesWithTheFewestCrashes() {
        SuspectTable table = crashedOnce("one");
        table.recordStart(REQUEST, "s2");
        table.recordCrash("s2", "s2/1", 10);
        for (byte body = 10; body < 20; body++) {
            table.recordStart(Fingerprint.of("customer", "model", new byte[] {body}), "s1");
        }
        table.recordCrash("s1", "s1/2", 20);
        assertEquals(table.entries().size(), 3);
        assertTrue(table.decide(REQUEST, SERVERS, 21) instanceof QuarantineDecision.Reject);
    }

    private static SuspectTable crashedOnce(String instance) {
        SuspectTable table = SuspectTable.create(instance, LIMITS);
        table.recordStart(REQUEST, "s1");
        assertEquals(table.recordCrash("s1", "s1/1", 1), Set.of(REQUEST));
        return table;
    }
}
