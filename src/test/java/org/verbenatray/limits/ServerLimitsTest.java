package org.verbenatray.limits;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Limits that servers state, kept by fleets of several sizes in simulated time. */
public final class ServerLimitsTest {
    /** The size from which on a fleet is played for a shorter time and with one seed. */
    private static final int LARGE_FLEET = 100;

    /** The number of requests that the users' rule allows in 4 s. */
    private static double allowed(double limit) {
        return 1.5 * 4 * limit + 5;
    }

    /** Returns number of instances, number of servers, limit, and requests a second to each server. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {1, 1, 4, 20},
            {6, 1, 0.5, 30},
            {6, 4, 4, 20},
            {6, 13, 3.7, 12},
            {6, 2, 40, 100},
            {6, 1, 500, 1_000},
            {16, 1, 3, 80},
            {69, 1, 0.5, 30},
            {69, 4, 4, 30},
            {69, 63, 4, 12},
            {370, 3, 4, 60},
            {130, 1, 40, 300},
        };
    }

    @Test(dataProvider = "fleets")
    public void allInstancesTogetherKeepTheLimitAndUseMostOfIt(
            int instances, int servers, double limit, double requestsPerSecond) {
        int seconds = instances >= LARGE_FLEET ? 16 : 40;
        int seeds = instances >= LARGE_FLEET ? 1 : 2;
        for (long seed = 1; seed <= seeds; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(instances, seed);
            fleet.setLoss(0.02);
            List<SimulatedFleet.Server> limited = addServers(fleet, servers, limit);
            fleet.run(seconds, requestsPerSecond);
            double used = 0;
            for (SimulatedFleet.Server server : limited) {
                Assert.assertTrue(server.mostInWindow() <= allowed(limit), "in 4 s: " + server.mostInWindow());
                used += server.receivedSince(seconds - 8) / ((seconds - 8) * limit * servers);
            }
            Assert.assertTrue(used >= 0.6, "share used: " + used);
        }
    }

    @Test
    public void instancesThatCannotReachOneAnotherKeepTheLimitTogether() {
        SimulatedFleet fleet = new SimulatedFleet(6, 7);
        SimulatedFleet.Server server = fleet.addServer(4);
        fleet.run(10, 30);
        for (int instance = 0; instance < 6; instance++) {
            fleet.setCutOff(instance, true);
        }
        fleet.run(30, 30);
        Assert.assertTrue(server.mostInWindow() <= allowed(4), "in 4 s: " + server.mostInWindow());
        Assert.assertTrue(server.receivedSince(20) >= 0.6 * 4 * 20, "received: " + server.receivedSince(20));
    }

    @Test
    public void instancesThatRestartKeepTheLimit() {
        SimulatedFleet fleet = new SimulatedFleet(6, 8);
        SimulatedFleet.Server server = fleet.addServer(4);
        for (int round = 0; round < 12; round++) {
            fleet.run(3, 30);
            fleet.restart(round % 6);
        }
        Assert.assertTrue(server.mostInWindow() <= allowed(4), "in 4 s: " + server.mostInWindow());
    }

    @Test
    public void aLimitEndsForAllInstancesWithAnAnswerThatStatesNone() {
        for (int instances : new int[] {6, 69}) {
            SimulatedFleet fleet = new SimulatedFleet(instances, 9);
            SimulatedFleet.Server server = fleet.addServer(0.5);
            fleet.run(20, 30);
            server.endLimit();
            fleet.run(15, 30);
            Assert.assertTrue(server.receivedSince(5) >= 0.8 * 30 * 5, "received: " + server.receivedSince(5));
        }
    }

    /** A fleet whose servers all state limits is the case with most notices. */
    @Test
    public void theNoticesOfAnInstanceDoNotGrowWithTheFleet() {
        double small = noticeBytes(40, 16);
        double large = noticeBytes(160, 64);
        Assert.assertTrue(large <= 1.5 * small, "bytes a second and instance: " + small + ", " + large);
    }

    private static double noticeBytes(int instances, int servers) {
        SimulatedFleet fleet = new SimulatedFleet(instances, 10);
        addServers(fleet, servers, 4);
        fleet.run(15, 30);
        return fleet.noticeBytesPerSecond();
    }

    @Test
    public void aStatusAnswerWithoutALimitDoesNotEndOneThatOtherAnswersState() {
        ManualTime time = new ManualTime();
        ServerLimits limits = alone(time);
        limits.recordAnswer("s@1", OptionalDouble.of(1));
        limits.recordStatusAnswer("s@1", OptionalDouble.empty());
        Assert.assertTrue(limits.requestsPerSecond("s@1").isPresent());
        limits.recordStatusAnswer("s@1", OptionalDouble.of(2));
        limits.recordStatusAnswer("s@1", OptionalDouble.empty());
        Assert.assertTrue(limits.requestsPerSecond("s@1").isEmpty());
    }

    @Test
    public void aLimitOfZeroLeavesRoomForARequestThatFindsItsEnd() {
        ManualTime time = new ManualTime();
        ServerLimits limits = alone(time);
        limits.recordAnswer("s@1", OptionalDouble.of(0));
        Assert.assertFalse(limits.admits("s@1"));
        time.advanceMillis(12_000);
        Assert.assertTrue(limits.admits("s@1"));
    }

    @Test
    public void anotherStartOfAServerHasNoLimit() {
        ServerLimits limits = alone(new ManualTime());
        limits.recordAnswer("s@1", OptionalDouble.of(1));
        limits.remove("s@1");
        Assert.assertTrue(limits.admits("s@1"));
        Assert.assertTrue(limits.admits("s@2"));
    }

    @Test
    public void rejectedCallersComeBackOneAfterTheOther() {
        ServerLimits limits = alone(new ManualTime());
        limits.recordAnswer("s@1", OptionalDouble.of(4));
        List<Long> times = new ArrayList<>();
        for (int caller = 0; caller < 4; caller++) {
            times.add(limits.retryAfterMillis("service", List.of("s@1")));
        }
        Assert.assertEquals(times, List.of(250L, 500L, 750L, 1_000L));
    }

    @Test
    public void aMalformedNoticeIsDropped() {
        ServerLimits limits = alone(new ManualTime());
        limits.receive(new byte[] {114, 5, 1});
        Assert.assertTrue(limits.admits("s@1"));
    }

    private static List<SimulatedFleet.Server> addServers(SimulatedFleet fleet, int count, double limit) {
        List<SimulatedFleet.Server> servers = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            servers.add(fleet.addServer(limit));
        }
        return servers;
    }

    /** Returns the limits of an instance that is the only one. */
    private static ServerLimits alone(ManualTime time) {
        Map<String, InetSocketAddress> others = Map.of();
        return ServerLimits.create(
                new ServerLimits.Sender("m1", 1, (address, datagram) -> {}),
                (boot, limit) -> new LimitSharers(others, true, true),
                List::of,
                time,
                time);
    }
}
