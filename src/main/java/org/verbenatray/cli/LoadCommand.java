package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.load.LoadRun;
import org.verbenatray.load.LoadSummary;
import org.verbenatray.settings.SettingsCheck;

/** Puts a mix of calls on entry instances. */
@Parameters(commandDescription = "Puts a mix of calls on running entry instances and judges every answer.")
final class LoadCommand implements Command {
    /** The targets. */
    @Parameter(names = "--targets", description = "Base URIs of entry instances for callers, separated by commas")
    private List<String> targets = new ArrayList<>();

    /** The key. */
    @Parameter(names = "--key", description = "API key of the customer")
    private String key;

    /** The length. */
    @Parameter(names = "--seconds", description = "Length of the run in seconds")
    private String seconds = "30";

    /** The rate. */
    @Parameter(names = "--rate", description = "Calls per second")
    private String rate = "20";

    /** The part of reviews. */
    @Parameter(names = "--reviews-percent", description = "Part of long reviews among the completions, 0 to 100")
    private String reviewsPercent = "20";

    /** The seed. */
    @Parameter(names = "--seed", description = "Seed of the mix of calls")
    private String seed = "1";

    /** Whether the engines are stand-ins. */
    @Parameter(names = "--stand-ins", description = "Compares each text with what the stand-in engines generate")
    private boolean standIns;

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        if (targets.isEmpty()) {
            check.report("--targets", "missing", "give at least one base URI, such as http://127.0.0.1:8080");
        }
        List<String> addresses =
                targets.stream().map(target -> check.uri("--targets", target)).toList();
        if (key == null || key.isBlank()) {
            check.report("--key", "missing", "give the API key of a configured customer");
        }
        int length = (int) check.number("--seconds", seconds, 1, 86_400);
        int perSecond = (int) check.number("--rate", rate, 1, 100_000);
        double reviews = check.number("--reviews-percent", reviewsPercent, 0, 100) / 100.0;
        long mixSeed = check.number("--seed", seed, 0, Long.MAX_VALUE);
        check.finish();
        LoadSummary summary = LoadRun.create(addresses, key, standIns).run(length, perSecond, reviews, mixSeed);
        output.out().print(summary.table());
        summary.details().forEach(output.err()::println);
        boolean sound = summary.count(Outcome.LOST) + summary.count(Outcome.WRONG) == 0;
        return sound ? ExitCode.DONE : ExitCode.FAILED;
    }
}
