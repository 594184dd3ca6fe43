package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.verbenatray.bench.AtMostOnceBench;
import org.verbenatray.bench.SizeList;
import org.verbenatray.settings.SettingsCheck;

/** Runs the benchmark of calls that run at most once. */
@Parameters(commandDescription = "Measures latency, log appends and throughput of calls that run at most once.")
final class BenchOnceCommand implements Command {
    @Parameter(names = "--instances", description = "Numbers of entry instances, separated by commas")
    private String instances = "2,6";

    @Parameter(names = "--callers", description = "Numbers of concurrent callers, separated by commas")
    private String callers = "1,16,64,256,1024";

    @Parameter(names = "--seconds", description = "Duration of each of the three rounds per path in seconds")
    private String seconds = "4";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        List<Integer> checkedInstances = SizeList.parse("--instances", instances, 24, check);
        List<Integer> checkedCallers = SizeList.parse("--callers", callers, 4_096, check);
        long checkedSeconds = check.number("--seconds", seconds, 1, 3_600);
        check.throwIfInvalid();
        AtMostOnceBench.run(output.out(), checkedInstances, checkedCallers, checkedSeconds);
        return ExitCode.SUCCESS;
    }
}
