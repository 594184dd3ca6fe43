package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.verbenatray.demo.DemoRun;
import org.verbenatray.settings.SettingsCheck;

/** Runs the demonstration and reports whether all its checks passed. */
@Parameters(commandDescription = "Runs the whole system with embedded stand-ins, planned changes and an engine crash.")
final class DemoCommand implements Command {
    @Parameter(names = "--seconds", description = "Duration of the demonstration in seconds")
    private String seconds = "15";

    @Parameter(names = "--seed", description = "Seed of the mix of calls")
    private String seed = "1";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        int checkedSeconds = (int) check.number("--seconds", seconds, 1, 3_600);
        long checkedSeed = check.number("--seed", seed, 0, Long.MAX_VALUE);
        check.throwIfInvalid();
        boolean passed =
                DemoRun.create(output.out(), checkedSeconds, checkedSeed).run();
        output.out()
                .println(
                        passed
                                ? "no response was lost, duplicated or mixed up"
                                : "a response was lost, duplicated or mixed up");
        return passed ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
