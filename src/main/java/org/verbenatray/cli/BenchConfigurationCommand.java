package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.verbenatray.bench.ConfigurationBench;
import org.verbenatray.bench.SizeList;
import org.verbenatray.settings.SettingsCheck;

/** Measures changes of the configuration. */
@Parameters(commandDescription = "Measures when changes of the configuration are in force and what they cost.")
final class BenchConfigurationCommand implements Command {
    /** The numbers of followers. */
    @Parameter(names = "--instances", description = "Numbers of followers of the log, separated by commas")
    private String instances = "2,6,24,96";

    /** The number of changes. */
    @Parameter(names = "--changes", description = "Changes that two publishers append in turn")
    private String changes = "200";

    /** The pause between changes. */
    @Parameter(names = "--pause-millis", description = "Pause between two changes in milliseconds; 6,800 a day: 12700")
    private String pauseMillis = "50";

    /** The sizes of the fleets. */
    @Parameter(names = "--customers", description = "Numbers of customers of the fleets, separated by commas")
    private String customers = "90,450,1800";

    @Override
    public int run(CommandOutput output) {
        SettingsCheck check = SettingsCheck.create();
        List<Integer> checkedInstances = SizeList.parse("--instances", instances, 400, check);
        long checkedChanges = check.number("--changes", changes, 2, 100_000);
        long checkedPause = check.number("--pause-millis", pauseMillis, 0, 60_000);
        List<Integer> checkedCustomers = SizeList.parse("--customers", customers, 3_600, check);
        check.finish();
        ConfigurationBench.run(output.out(), checkedInstances, (int) checkedChanges, checkedPause, checkedCustomers);
        return ExitCode.DONE;
    }
}
