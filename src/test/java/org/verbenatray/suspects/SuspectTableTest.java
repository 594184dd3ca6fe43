package org.verbenatray.suspects;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.Test;

/** Examples of {@link SuspectTable}. */
public final class SuspectTableTest {
    /** The servers. */
    private static final List<String> SERVERS = List.of("s1", "s2");

    /** A request. */
    private static final Fingerprint REQUEST = Fingerprint.of("customer", "model", new byte[] {1});

    /** The bounds. */
    private static final SuspectLimits LIMITS = new SuspectLimits(3, 2, 1_000, 3_000, 10_000, 500, 10);

    @Test
    public void aCrashThatTwoInstancesTellOfCountsOnce() {
        SuspectTable one = crashedOnce("one");
        SuspectTable two = crashedOnce("two");
        one.merge(two.digest(), 5);
        assertTrue(one.decide(REQUEST, SERVERS, 6) instanceof Quarantine.Alone);
    }

    @Test
    public void aSuspectThatFinishesAloneIsClearedAlsoAtPeers() {
        SuspectTable one = crashedOnce("one");
        SuspectTable two = crashedOnce("two");
        one.bar(REQUEST, "s2", 5);
        two.merge(one.digest(), 5);
        assertEquals(two.barredServers(6), Set.of("s2"));
        assertEquals(two.decide(REQUEST, SERVERS, 6), new Quarantine.Wait(16));
        one.started(REQUEST, "s2");
        one.finished(REQUEST, true, 7);
        two.merge(one.digest(), 8);
        assertEquals(two.decide(REQUEST, SERVERS, 9), new Quarantine.Normally(Optional.empty()));
        assertTrue(two.barredServers(9).isEmpty());
    }

    @Test
    public void theServerOfAPeerThatFellSilentServesOthersAgain() {
        SuspectTable one = crashedOnce("one");
        SuspectTable two = crashedOnce("two");
        one.bar(REQUEST, "s2", 5);
        two.merge(one.digest(), 5);
        assertEquals(two.barredServers(6), Set.of("s2"));
        two.forgetRunsOf("one");
        assertTrue(two.barredServers(6).isEmpty());
        assertTrue(two.decide(REQUEST, SERVERS, 6) instanceof Quarantine.Alone);
    }

    @Test
    public void twoSuspectsNeverShareAServer() {
        SuspectTable table = crashedOnce("one");
        Fingerprint other = Fingerprint.of("customer", "model", new byte[] {2});
        table.started(other, "s1");
        table.crashed("s1", "s1/2", 2);
        Quarantine.Alone first = (Quarantine.Alone) table.decide(REQUEST, SERVERS, 3);
        table.bar(REQUEST, first.server(), 3);
        for (String server : SERVERS) {
            Quarantine expected =
                    server.equals(first.server()) ? new Quarantine.Wait(13) : new Quarantine.Alone(server);
            assertEquals(table.decide(other, List.of(server), 3), expected);
        }
    }

    @Test
    public void aCondemnedRequestIsToldWhenToComeBackAndThenGetsOneRunAlone() {
        SuspectTable table = crashedOnce("one");
        table.started(REQUEST, "s2");
        table.crashed("s2", "s2/1", 10);
        assertEquals(table.decide(REQUEST, SERVERS, 11), new Quarantine.Refused(1_010));
        assertTrue(table.decide(REQUEST, SERVERS, 1_010) instanceof Quarantine.Alone);
        table.bar(REQUEST, "s1", 1_010);
        table.started(REQUEST, "s1");
        table.crashed("s1", "s1/2", 1_020);
        assertEquals(table.decide(REQUEST, SERVERS, 1_021), new Quarantine.Refused(3_020));
    }

    @Test
    public void aRequestThatGeneratedTokensBeforeTheCrashRunsWithOthersOnceMoreThenAloneThenNoMore() {
        SuspectTable table = SuspectTable.create("one", LIMITS);
        for (int crash = 1; crash <= 3; crash++) {
            Quarantine decision = table.decide(REQUEST, SERVERS, crash);
            assertEquals(decision instanceof Quarantine.Alone, crash == 3, "before crash " + crash);
            if (crash == 3) {
                table.bar(REQUEST, "s1", crash);
            }
            table.started(REQUEST, "s1");
            table.progressed(REQUEST);
            table.crashed("s1", "s1/" + crash, crash);
        }
        assertTrue(table.decide(REQUEST, SERVERS, 4) instanceof Quarantine.Refused);
    }

    @Test
    public void aFullTableDropsWhatBarsLeast() {
        SuspectTable table = crashedOnce("one");
        table.started(REQUEST, "s2");
        table.crashed("s2", "s2/1", 10);
        for (byte body = 10; body < 20; body++) {
            table.started(Fingerprint.of("customer", "model", new byte[] {body}), "s1");
        }
        table.crashed("s1", "s1/2", 20);
        assertEquals(table.entries().size(), 3);
        assertTrue(table.decide(REQUEST, SERVERS, 21) instanceof Quarantine.Refused);
    }

    private static SuspectTable crashedOnce(String instance) {
        SuspectTable table = SuspectTable.create(instance, LIMITS);
        table.started(REQUEST, "s1");
        assertEquals(table.crashed("s1", "s1/1", 1), Set.of(REQUEST));
        return table;
    }
}
