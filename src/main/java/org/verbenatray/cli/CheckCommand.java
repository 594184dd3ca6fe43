package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.List;
import org.verbenatray.configuration.ConfigurationProblem;
import org.verbenatray.instance.FolderPublisher;

/** Validates a configuration folder. */
@Parameters(commandDescription = "Validates a configuration folder and prints all problems.")
final class CheckCommand implements Command {
    @Parameter(description = "FOLDER", required = true)
    private String folder;

    @Override
    public int run(CommandOutput output) {
        List<ConfigurationProblem> problems = FolderPublisher.validate(Path.of(folder));
        problems.forEach(problem -> output.err().println(problem.message()));
        if (!problems.isEmpty()) {
            return ExitCode.FAILURE;
        }
        output.out().println("ok");
        return ExitCode.SUCCESS;
    }
}
