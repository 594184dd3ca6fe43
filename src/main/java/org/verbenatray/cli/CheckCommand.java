package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import org.verbenatray.configuration.ConfigurationFolder;
import org.verbenatray.configuration.ConfigurationMerger;
import org.verbenatray.configuration.MergeResult;

/** Checks a configuration folder. */
@Parameters(commandDescription = "Checks a configuration folder and prints everything that is wrong with it.")
final class CheckCommand implements Command {
    /** The folder. */
    @Parameter(description = "FOLDER", required = true)
    private String folder;

    @Override
    public int run(CommandOutput output) throws Exception {
        MergeResult result = ConfigurationMerger.merge(ConfigurationFolder.read(Path.of(folder)));
        result.problems().forEach(problem -> output.err().println(problem));
        if (!result.isValid()) {
            return ExitCode.FAILED;
        }
        output.out().println("ok");
        return ExitCode.DONE;
    }
}
