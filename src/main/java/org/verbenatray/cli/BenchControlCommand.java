package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.verbenatray.bench.ControlBench;
import org.verbenatray.bench.SizeList;
import org.verbenatray.settings.SettingsCheck;

/** Runs the benchmark of the control work of an instance. */
@Parameters(commandDescription = "Measures CPU time, bytes sent and state size of the control work of one instance.")
final class BenchControlCommand implements Command {
    @Parameter(names = "--engines", description = "Numbers of engines in the failure domain, separated by commas")
    private String engines = "50,280";

    @Parameter(
            names = "--peers",
            description = "Numbers of entry instances in each failure domain, separated by commas")
    private String peers = "6,40";

    @Parameter(names = "--domains", description = "Numbers of failure domains, separated by commas")
    private String domains = "1,3";

    @Parameter(
            names = "--requests",
            description = "Requests per second at each instance, measured in addition to an idle instance")
    private String requests = "16";

    @Parameter(names = "--seconds", description = "Duration of each measurement in seconds")
    private String seconds = "20";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        List<Integer> checkedEngines = SizeList.parse("--engines", engines, 2_500, check);
        List<Integer> checkedPeers = SizeList.parse("--peers", peers, 64, check);
        List<Integer> checkedDomains = SizeList.parse("--domains", domains, 9, check);
        long checkedRequests = check.number("--requests", requests, 1, 10_000);
        long checkedSeconds = check.number("--seconds", seconds, 1, 3_600);
        check.throwIfInvalid();
        ControlBench.run(
                output.out(), checkedEngines, checkedPeers, checkedDomains, (int) checkedRequests, checkedSeconds);
        return ExitCode.SUCCESS;
    }
}
