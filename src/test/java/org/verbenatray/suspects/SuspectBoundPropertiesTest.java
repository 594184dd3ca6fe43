package org.verbenatray.suspects;

import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** The bounds on the servers that one fingerprint takes down. */
public final class SuspectBoundPropertiesTest {
    @Property(tries = 400, seed = "61", shrinking = ShrinkingMode.OFF)
    void noInstanceLosesMoreThanTwoServersWhateverNewsItGets(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int instances, @ForAll boolean sharedServers) {
        SuspectWorld world = new SuspectWorld(seed, instances, 1 + (int) (seed & 1), sharedServers, false);
        sendThroughAll(world, instances, 3);
        run(world, 1_500);
        for (Set<String> crashes : world.crashesByInstance.values()) {
            require(crashes.size() <= 2, "one instance lost " + crashes);
        }
        require(world.crashes.size() <= 2 * instances, "servers lost " + world.crashes);
    }

    @Property(tries = 400, seed = "62", shrinking = ShrinkingMode.OFF)
    void connectedInstancesLoseOneServerPerCopyAtTheFirstCrashAndOneMore(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int instances) {
        SuspectWorld world = new SuspectWorld(seed, instances, 1, true, true);
        sendThroughAll(world, instances, 2);
        run(world, 2_000);
        int bound = world.copiesAtFirstCrash + 1;
        require(world.crashes.size() <= bound, world.crashes + " above " + bound);
        requireNeighboursDone(world);
    }

    @Property(tries = 300, seed = "63", shrinking = ShrinkingMode.OFF)
    void aCallerThatSendsAgainAfterEachFailureTakesTwoServersDown(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int instances) {
        SuspectWorld world = new SuspectWorld(seed, instances, 1, true, true);
        world.send(SuspectWorld.POISON, 0);
        run(world, 2_000);
        require(world.crashes.size() == 2, "servers lost " + world.crashes);
        require(world.refusals == 1, "the caller got no final answer");
        requireNeighboursDone(world);
    }

    @Property(tries = 100, seed = "65", shrinking = ShrinkingMode.OFF)
    void instancesThatHearOfNoOneLoseExactlyTwoServersEach(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int instances) {
        SuspectWorld world = new SuspectWorld(seed, instances, instances, false, true);
        sendThroughAll(world, instances, 1);
        run(world, 2_000);
        require(world.crashes.size() == 2 * instances, "servers lost " + world.crashes);
    }

    @Property(tries = 300, seed = "64", shrinking = ShrinkingMode.OFF)
    void cutOffFailureDomainsAddTheirBounds(@ForAll long seed, @ForAll @IntRange(min = 2, max = 3) int domains) {
        int instances = 2 * domains;
        SuspectWorld world = new SuspectWorld(seed, instances, domains, false, true);
        sendThroughAll(world, instances, 2);
        run(world, 3_000);
        require(world.crashes.size() <= instances + domains, "servers lost " + world.crashes);
        requireNeighboursDone(world);
    }

    private static void sendThroughAll(SuspectWorld world, int instances, int copies) {
        for (int copy = 0; copy < copies * instances; copy++) {
            world.send(SuspectWorld.POISON, copy % instances);
        }
    }

    private static void run(SuspectWorld world, int steps) {
        for (int step = 0; step < steps; step++) {
            if (step < 300 && step % 20 == 0) {
                world.sendNeighbour();
            }
            world.step();
        }
    }

    private static void requireNeighboursDone(SuspectWorld world) {
        for (int step = 0; step < 20_000 && (world.openNeighbours() > 0 || world.poisonOpen()); step++) {
            world.step();
        }
        require(!world.poisonOpen(), "a copy of the poisonous request got no final answer");
        require(world.openNeighbours() == 0, "neighbours left open: " + world.openNeighbours());
        require(world.refusedNeighbours.isEmpty(), "neighbours refused: " + world.refusedNeighbours);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }
}
