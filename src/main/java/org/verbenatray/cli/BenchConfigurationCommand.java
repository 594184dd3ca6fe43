package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.verbenatray.bench.ConfigurationBench;
import org.verbenatray.bench.SizeList;
import org.verbenatray.settings.SettingsCheck;

/** Runs the benchmark of configuration changes. */
@Parameters(commandDescription = "Measures the propagation time and the cost of configuration changes.")
final class BenchConfigurationCommand implements Command {
    @Parameter(names = "--instances", description = "Numbers of instances that follow the log, separated by commas")
    private String instances = "2,6,24,96";

    @Parameter(names = "--changes", description = "Number of changes, appended by two publishers in turn")
    private String changes = "200";

    @Parameter(
            names = "--pause-millis",
            description = "Pause between two changes in milliseconds; 12700 for 6,800 changes a day")
    private String pauseMillis = "50";

    @Parameter(names = "--customers", description = "Numbers of customers in the configuration, separated by commas")
    private String customers = "90,450,1800";

    @Override
    public int run(CommandOutput output) {
        SettingsCheck check = SettingsCheck.create();
        List<Integer> checkedInstances = SizeList.parse("--instances", instances, 400, check);
        long checkedChanges = check.number("--changes", changes, 2, 100_000);
        long checkedPause = check.number("--pause-millis", pauseMillis, 0, 60_000);
        List<Integer> checkedCustomers = SizeList.parse("--customers", customers, 3_600, check);
        check.throwIfInvalid();
        ConfigurationBench.run(output.out(), checkedInstances, (int) checkedChanges, checkedPause, checkedCustomers);
        return ExitCode.SUCCESS;
    }
}
