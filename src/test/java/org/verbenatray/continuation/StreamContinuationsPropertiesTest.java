package org.verbenatray.continuation;

import java.util.Random;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Random courses of releases, crashes, restarts and cuts: no stream is continued at another software version. */
public final class StreamContinuationsPropertiesTest {
    /** The system property that sets the number of courses of a longer run. */
    private static final String COURSES_PROPERTY = "continuation.courses";

    private static final int COURSES = 200;

    private static final int STEPS = 120;

    private static final String[] VERSIONS = {"v1", "v1.1", "v2"};

    @Test
    public void noStreamIsContinuedAtAnotherVersion() {
        int courses = Integer.getInteger(COURSES_PROPERTY, COURSES);
        long continued = 0;
        long refused = 0;
        for (long seed = 0; seed < courses; seed++) {
            SimulatedStreams streams = course(seed, 0.03, true);
            Assert.assertEquals(streams.wrong(), 0, "seed " + seed);
            continued += streams.continued();
            refused += streams.refused();
        }
        Assert.assertTrue(continued > 10 * courses, "most courses must continue streams: " + continued);
    }

    /** The users' bound: at least half as many go on as begin, where instances stay in touch. */
    @Test
    public void mostStreamsAreContinuedDuringAReleaseWhileInstancesStartAgain() {
        for (long seed = 0; seed < 20; seed++) {
            SimulatedStreams streams = course(seed, 0.03, false);
            Assert.assertTrue(
                    streams.continued() > streams.refused(),
                    "seed " + seed + ": " + streams.continued() + " continued, " + streams.refused() + " refused");
            Assert.assertEquals(streams.wrong(), 0, "seed " + seed);
        }
    }

    private static SimulatedStreams course(long seed, double lossRate, boolean cuts) {
        Random random = new Random(seed);
        SimulatedStreams streams = new SimulatedStreams(seed, lossRate);
        for (int step = 0; step < STEPS; step++) {
            step(streams, random, cuts);
            streams.advance(20 + random.nextInt(400));
        }
        streams.advance(10_000);
        return streams;
    }

    private static void step(SimulatedStreams streams, Random random, boolean cuts) {
        String version = VERSIONS[random.nextInt(VERSIONS.length)];
        switch (random.nextInt(10)) {
            case 0 -> streams.addServer(version);
            case 1 -> streams.removeServer();
            case 2 -> streams.restartServer(version);
            case 3 -> streams.restartInstance();
            case 4 -> {
                if (cuts) {
                    streams.cutOrHeal();
                }
            }
            default -> streams.runStream();
        }
    }
}
