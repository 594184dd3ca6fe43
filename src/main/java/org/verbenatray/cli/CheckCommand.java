package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
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
        MergeResult result = ConfigurationMerger.merge(read(Path.of(folder)));
        result.problems().forEach(problem -> output.err().println(problem));
        if (!result.isValid()) {
            return ExitCode.FAILED;
        }
        output.out().println("ok");
        return ExitCode.DONE;
    }

    /** Returns the files of a folder by name. */
    static SortedMap<String, String> read(Path folder) throws java.io.IOException {
        SortedMap<String, String> files = new TreeMap<>();
        try (Stream<Path> listing = Files.list(folder)) {
            for (Path file :
                    listing.filter(path -> path.toString().endsWith(".yaml")).toList()) {
                files.put(file.getFileName().toString(), Files.readString(file));
            }
        }
        return files;
    }
}
