package org.verbenatray.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.verbenatray.cli.Command;
import org.verbenatray.cli.CommandOutput;

/** Plays the shifting mix and prints its figures. */
@Parameters(
        commandNames = "mix",
        commandDescription = "Play shifts of the request mix on a simulated clock and print goodput and role changes.")
public final class MixCommand implements Command {
    /** The exit code of a run that was done. */
    private static final int DONE = 0;

    /** The exit code of a failed run. */
    private static final int FAILED = 1;

    /** The exit code of wrong use. */
    private static final int WRONG_USE = 2;

    /** Where the figures are printed. */
    private final PrintStream out;

    /** The fleet. */
    @Parameter(names = "--deployment", description = "authority or consortium")
    private String deployment = "authority";

    /** The policies. */
    @Parameter(
            names = "--policy",
            description = "never, threshold, instant, planner, oracle; repeat or separate by comma")
    private List<String> policies = new ArrayList<>(Policies.NAMES);

    /** The shapes. */
    @Parameter(
            names = "--shape",
            description = "step, back, ramp, surge, oscillation-SECONDS; repeat or separate by comma")
    private List<String> shapes = new ArrayList<>(List.of("step"));

    /** The seeds. */
    @Parameter(names = "--seed", description = "the seed; repeat or separate by comma")
    private List<Long> seeds = new ArrayList<>(List.of(1L));

    /** The roles at the start. */
    @Parameter(names = "--assignment", description = "roles at the start: both, mixed, split, prompts, tokens")
    private String assignment = "mixed";

    /** The router. */
    @Parameter(names = "--router", description = "cost, the one of the entry instances, or least-time")
    private String router = Routers.LEAST_TIME;

    /** The price of a change. */
    @Parameter(names = "--price", description = "price of a role change in answers; the deployment's when not given")
    private Double price;

    /** Whether only JSON is printed. */
    @Parameter(names = "--json", description = "print JSON lines only, without the table")
    private boolean json;

    /** Creates the command. */
    private MixCommand(PrintStream out) {
        this.out = out;
    }

    /** Returns the command that prints to a stream. */
    public static MixCommand create(PrintStream out) {
        return new MixCommand(out);
    }

    @Override
    public int run(CommandOutput output) {
        return run();
    }

    /** Plays the runs and returns the exit code. */
    public int run() {
        List<String> problems = new ArrayList<>();
        List<MixRun> runs = runs(problems);
        if (!problems.isEmpty()) {
            problems.forEach(out::println);
            return WRONG_USE;
        }
        List<MixResult> results = MixExperiment.playAll(runs);
        try {
            ObjectMapper mapper = new ObjectMapper();
            for (MixResult result : results) {
                out.println(mapper.writeValueAsString(result));
            }
        } catch (JsonProcessingException e) {
            out.println("figures can't be written: " + e.getOriginalMessage());
            return FAILED;
        }
        if (!json) {
            out.print(MixTable.of(results));
        }
        return DONE;
    }

    /** Returns the runs and notes wrong values with their remedies. */
    private List<MixRun> runs(List<String> problems) {
        Optional<Deployment> fleet =
                Deployment.named(deployment).map(found -> price == null ? found : found.atPrice(price));
        if (fleet.isEmpty()) {
            problems.add("--deployment " + deployment + ": use authority or consortium");
        }
        Optional<Assignment> start = Assignment.named(assignment);
        if (start.isEmpty()) {
            problems.add("--assignment " + assignment + ": use both, mixed, split, prompts or tokens");
        }
        if (!Routers.NAMES.contains(router)) {
            problems.add("--router " + router + ": use " + String.join(" or ", Routers.NAMES));
        }
        for (String policy : policies) {
            if (!policy.equals(Policies.ORACLE) && Policies.named(policy).isEmpty()) {
                problems.add("--policy " + policy + ": use " + String.join(", ", Policies.NAMES));
            }
        }
        List<MixRun> runs = new ArrayList<>();
        for (String name : shapes) {
            Optional<MixShape> shape = MixShape.named(name);
            if (shape.isEmpty()) {
                problems.add("--shape " + name + ": use step, back, ramp, surge or oscillation-SECONDS");
            } else if (problems.isEmpty()) {
                addRuns(runs, fleet.orElseThrow(), shape.get(), start.orElseThrow());
            }
        }
        return runs;
    }

    /** Adds the runs of one shape. */
    private void addRuns(List<MixRun> runs, Deployment fleet, MixShape shape, Assignment start) {
        for (String policy : policies) {
            for (long seed : seeds) {
                runs.add(new MixRun(fleet, shape, start, router, policy, seed));
            }
        }
    }
}
