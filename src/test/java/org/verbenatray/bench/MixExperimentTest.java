package org.verbenatray.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests of {@link MixExperiment}. */
public final class MixExperimentTest {
    private static final long SEED = 101;

    /** The part of the oracle's goodput that the authority's setting has to gain. */
    private static final double TARGET = 0.95;

    @Test
    public void theAuthoritysPlannerGainsItsPartOfTheOraclesGoodputWhenEnginesAreWithdrawn() {
        MixResult planner = play("planner", Assignment.MIXED);
        MixResult oracle = play("oracle", Assignment.MIXED);
        assertTrue(planner.goodputPerSecond() >= TARGET * oracle.goodputPerSecond(), planner + " " + oracle);
        assertTrue(planner.goodputPerSecond() >= play("never", Assignment.MIXED).goodputPerSecond());
    }

    @Test
    public void thePlannerLeavesAnAssignmentThatDoesNotFit() {
        MixResult planner = play("planner", Assignment.BOTH);
        MixResult never = play("never", Assignment.BOTH);
        assertTrue(planner.goodputPerSecond() > 1.05 * never.goodputPerSecond(), planner + " " + never);
        assertTrue(
                planner.roleChanges() * 3 <= play("threshold", Assignment.BOTH).roleChanges(), planner.toString());
    }

    @Test
    public void equalRunsGiveEqualFigures() {
        assertEquals(play("planner", Assignment.BOTH), play("planner", Assignment.BOTH));
    }

    @Test
    public void wrongArgumentsNameTheirRemedies() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        MixCommand command = MixCommand.create(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        JCommander.newBuilder().addObject(command).build().parse("--shape", "wave", "--deployment", "x");
        assertEquals(command.run(), 2);
        String printed = bytes.toString(StandardCharsets.UTF_8);
        assertTrue(printed.contains("--shape wave: use step") && printed.contains("--deployment x: use"), printed);
    }

    private static MixResult play(String policy, Assignment start) {
        MixShape shape = MixShape.named("surge").orElseThrow();
        MixRun run = new MixRun(Deployment.authority(), shape, start, "least-time", policy, SEED);
        return MixExperiment.play(run).orElseThrow();
    }
}
