package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.verbenatray.bench.ControlBench;
import org.verbenatray.bench.SizeList;
import org.verbenatray.settings.SettingsCheck;

/** Measures the control work of an instance. */
@Parameters(commandDescription = "Measures processor time, bytes and state of the control work of one instance.")
final class BenchControlCommand implements Command {
    /** The numbers of engines. */
    @Parameter(names = "--engines", description = "Engines of the failure domain, separated by commas")
    private String engines = "50,280";

    /** The numbers of peers. */
    @Parameter(names = "--peers", description = "Entry instances of each failure domain, separated by commas")
    private String peers = "6,40";

    /** The numbers of failure domains. */
    @Parameter(names = "--domains", description = "Failure domains, separated by commas")
    private String domains = "1,3";

    /** The rate of requests. */
    @Parameter(names = "--requests", description = "Requests per second at each instance, measured besides none")
    private String requests = "16";

    /** The length of each point. */
    @Parameter(names = "--seconds", description = "Length of each point in seconds")
    private String seconds = "20";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        List<Integer> checkedEngines = SizeList.parse("--engines", engines, 2_500, check);
        List<Integer> checkedPeers = SizeList.parse("--peers", peers, 64, check);
        List<Integer> checkedDomains = SizeList.parse("--domains", domains, 9, check);
        long checkedRequests = check.number("--requests", requests, 1, 10_000);
        long checkedSeconds = check.number("--seconds", seconds, 1, 3_600);
        check.finish();
        ControlBench.run(
                output.out(), checkedEngines, checkedPeers, checkedDomains, (int) checkedRequests, checkedSeconds);
        return ExitCode.DONE;
    }
}
