package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import org.verbenatray.bench.OverheadBench;
import org.verbenatray.bench.SizeList;
import org.verbenatray.settings.SettingsCheck;

/** Runs the benchmark of the overhead that an entry instance adds to the path to an engine. */
@Parameters(commandDescription = "Compares the direct path to engines with the path through one entry instance.")
final class BenchOverheadCommand implements Command {
    @Parameter(names = "--streams", description = "Numbers of concurrent streams, separated by commas")
    private String streams = "1,32,256";

    @Parameter(names = "--seconds", description = "Duration of each of the four rounds per path in seconds")
    private String seconds = "10";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        List<Integer> checkedStreams = SizeList.parse("--streams", streams, 512, check);
        long checkedSeconds = check.number("--seconds", seconds, 1, 3_600);
        check.throwIfInvalid();
        OverheadBench.run(output.out(), checkedStreams, checkedSeconds);
        return ExitCode.SUCCESS;
    }
}
