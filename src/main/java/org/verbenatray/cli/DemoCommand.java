package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.verbenatray.demo.DemoRun;
import org.verbenatray.settings.SettingsCheck;

/** Runs the demonstration. */
@Parameters(commandDescription = "Runs the whole system with embedded stand-ins, planned changes and a crash.")
final class DemoCommand implements Command {
    /** The length. */
    @Parameter(names = "--seconds", description = "Length of the demonstration in seconds")
    private String seconds = "15";

    /** The seed. */
    @Parameter(names = "--seed", description = "Seed of the mix of calls")
    private String seed = "1";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        int checkedSeconds = (int) check.number("--seconds", seconds, 1, 3_600);
        long checkedSeed = check.number("--seed", seed, 0, Long.MAX_VALUE);
        check.finish();
        boolean sound =
                DemoRun.create(output.out(), checkedSeconds, checkedSeed).run();
        output.out().println(sound ? "nothing lost, doubled or crossed" : "something was lost, doubled or crossed");
        return sound ? ExitCode.DONE : ExitCode.FAILED;
    }
}
