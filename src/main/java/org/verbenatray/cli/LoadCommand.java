package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.load.LoadRun;
import org.verbenatray.load.LoadSummary;
import org.verbenatray.settings.SettingsCheck;

/** Runs the load generator against entry instances. */
@Parameters(commandDescription = "Sends a mix of calls to running entry instances and verifies every response.")
final class LoadCommand implements Command {
    @Parameter(names = "--targets", description = "Base URIs of entry instances for callers, separated by commas")
    private List<String> targets = new ArrayList<>();

    @Parameter(names = "--key", description = "API key of the customer")
    private String key;

    @Parameter(names = "--seconds", description = "Duration of the run in seconds")
    private String seconds = "30";

    @Parameter(names = "--rate", description = "Calls per second")
    private String rate = "20";

    @Parameter(names = "--reviews-percent", description = "Percentage of long reviews among the completions, 0 to 100")
    private String reviewsPercent = "20";

    @Parameter(names = "--seed", description = "Seed of the mix of calls")
    private String seed = "1";

    @Parameter(names = "--stand-ins", description = "Compares each text with the text that stand-in engines generate")
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
        double reviewShare = check.number("--reviews-percent", reviewsPercent, 0, 100) / 100.0;
        long mixSeed = check.number("--seed", seed, 0, Long.MAX_VALUE);
        check.throwIfInvalid();
        LoadSummary summary = LoadRun.create(addresses, key, standIns).run(length, perSecond, reviewShare, mixSeed);
        output.out().print(summary.table());
        summary.failureDetails().forEach(output.err()::println);
        boolean passed = summary.count(Outcome.LOST) + summary.count(Outcome.WRONG) == 0;
        return passed ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
