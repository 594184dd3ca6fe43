package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.verbenatray.configuration.ConfigurationFolder;
import org.verbenatray.configuration.ConfigurationFolderException;
import org.verbenatray.instance.FolderPublisher;
import org.verbenatray.instance.FolderWatch;
import org.verbenatray.instance.FolderWatch.Reading;
import org.verbenatray.instance.LogSession;
import org.verbenatray.instance.PublishResult;
import org.verbenatray.log.LogUnavailableException;
import org.verbenatray.settings.SettingsCheck;

/** Publishes the changes in a configuration folder, once or whenever they change. */
@Parameters(commandDescription = "Publishes the changes that an operator made in a configuration folder.")
final class PublishCommand implements Command {
    /** The timeout for reading the log in milliseconds. */
    private static final long LOG_READ_TIMEOUT_MILLIS = 30_000;

    /** The interval between two reads of a watched folder in milliseconds. */
    private static final long WATCH_INTERVAL_MILLIS = 300;

    @Parameter(description = "FOLDER", required = true)
    private String folder;

    @Parameter(names = "--platform", description = "Base URI of the platform")
    private String platform;

    @Parameter(names = "--author", description = "Name of the operator, recorded as the author")
    private String author;

    @Parameter(names = "--watch", description = "Publishes again whenever a file in the folder changes")
    private boolean watch;

    @Parameter(
            names = "--take-over",
            description = "Writes the changes of others into the folder instead of publishing; keeps copies as *.mine")
    private boolean takeOver;

    @Parameter(
            names = "--overrule",
            description = "Publishes the folder as it is, even over changes of others, which count as seen")
    private boolean overrule;

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        String checkedAuthor = check.name("--author", author);
        String checkedPlatform = check.uri("--platform", platform);
        if ((takeOver ? 1 : 0) + (overrule ? 1 : 0) + (watch ? 1 : 0) > 1) {
            check.report("--watch", "several of --watch, --take-over and --overrule", "give one of them");
        }
        check.throwIfInvalid();
        Path path = Path.of(folder);
        try (LogSession session = LogSession.open(checkedAuthor, checkedPlatform, LOG_READ_TIMEOUT_MILLIS)) {
            FolderPublisher publisher = FolderPublisher.create(path, session);
            if (watch) {
                return watch(publisher, session, path, output);
            }
            return print(publishOnce(publisher), output);
        }
    }

    /** Publishes or takes over once, as the flags say. */
    private PublishResult publishOnce(FolderPublisher publisher) throws IOException {
        if (takeOver) {
            return publisher.takeOver();
        }
        return overrule ? publisher.overrule() : publisher.publish();
    }

    /** Prints the lines of a result and returns its exit code. */
    private static int print(PublishResult result, CommandOutput output) {
        result.lines().forEach((result.isSuccess() ? output.out() : output.err())::println);
        return result.isSuccess() ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    /**
     * Publishes whenever the folder has new content that two successive reads found unchanged, until the process is
     * stopped. After a failure of the log, the same content is published again; a repeated failure is printed only
     * once.
     */
    private static int watch(FolderPublisher publisher, LogSession session, Path path, CommandOutput output)
            throws InterruptedException {
        ShutdownExitCode exitCode = ShutdownExitCode.install();
        FolderWatch watched = FolderWatch.create();
        String lastFailure = "";
        while (true) {
            if (watched.recordAndCheckStable(read(path))) {
                try {
                    session.refresh(LOG_READ_TIMEOUT_MILLIS);
                    exitCode.set(print(publisher.publish(), output));
                    lastFailure = "";
                } catch (LogUnavailableException | CompletionException e) {
                    String failure = "not published: " + CommandLine.rootCauseMessage(e) + "; retrying";
                    if (!failure.equals(lastFailure)) {
                        output.err().println(failure);
                    }
                    lastFailure = failure;
                    exitCode.set(ExitCode.FAILURE);
                    watched.clearReported();
                }
            }
            TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MILLIS);
        }
    }

    private static Reading read(Path path) {
        try {
            return Reading.of(ConfigurationFolder.readNonEmpty(path));
        } catch (ConfigurationFolderException e) {
            return Reading.failed(e.problems());
        }
    }
}
