package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.FileSystems;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.Optional;
import java.util.SortedMap;
import org.verbenatray.configuration.ChangeSets;
import org.verbenatray.configuration.ConfigurationFolder;
import org.verbenatray.configuration.ConfigurationMerger;
import org.verbenatray.configuration.MergeResult;
import org.verbenatray.configuration.PublishPlan;
import org.verbenatray.configuration.PublishState;
import org.verbenatray.instance.LogSession;
import org.verbenatray.log.Verdict;
import org.verbenatray.settings.SettingsCheck;

/** Publishes a configuration folder. */
@Parameters(commandDescription = "Publishes what an operator changed in a configuration folder.")
final class PublishCommand implements Command {
    /** The time for reading the log in milliseconds. */
    private static final long READ_MILLIS = 30_000;

    /** The folder. */
    @Parameter(description = "FOLDER", required = true)
    private String folder;

    /** The platform. */
    @Parameter(names = "--platform", description = "Base URI of the platform")
    private String platform;

    /** The author. */
    @Parameter(names = "--author", description = "Name of the operator that is recorded as the author")
    private String author;

    /** Whether to go on. */
    @Parameter(names = "--watch", description = "Publishes again whenever a file in the folder changes")
    private boolean watch;

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        String checkedAuthor = check.name("--author", author);
        String checkedPlatform = check.uri("--platform", platform);
        check.finish();
        Path path = Path.of(folder);
        try (LogSession session = LogSession.open(checkedAuthor, checkedPlatform, READ_MILLIS)) {
            int code = publish(session, path, output);
            if (watch) {
                watch(session, path, output);
            }
            return code;
        }
    }

    /** Publishes the folder as it is now. */
    private static int publish(LogSession session, Path path, CommandOutput output) throws IOException {
        SortedMap<String, String> files = ConfigurationFolder.read(path);
        MergeResult merged = ConfigurationMerger.merge(files);
        if (!merged.isValid()) {
            merged.problems().forEach(problem -> output.err().println(problem));
            return ExitCode.FAILED;
        }
        PublishState before = ConfigurationFolder.readPublishState(path);
        PublishPlan plan = ChangeSets.plan(files, session.configuration(), before);
        plan.behind().forEach(divergence -> output.err().println("behind: " + divergence.message()));
        plan.conflicts().forEach(divergence -> output.err().println("conflict: " + divergence.message()));
        if (plan.change().isEmpty()) {
            ConfigurationFolder.writePublishState(path, plan.next());
            output.out()
                    .println("nothing to publish, in force is offset "
                            + session.configuration().offset());
            return plan.conflicts().isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
        }
        Verdict verdict = session.append(plan.change().get(), Optional.of(plan.follows()));
        if (verdict.rejection().isPresent()) {
            output.err()
                    .println("rejected at offset " + verdict.offset() + ": "
                            + verdict.rejection().get().detail());
            return ExitCode.FAILED;
        }
        PublishState after =
                ChangeSets.plan(files, session.configuration(), plan.next()).next();
        ConfigurationFolder.writePublishState(path, after);
        output.out().println("accepted at offset " + verdict.offset());
        return ExitCode.DONE;
    }

    /** Publishes again whenever a file changes, until the process is stopped. */
    private static void watch(LogSession session, Path path, CommandOutput output) throws Exception {
        try (WatchService service = FileSystems.getDefault().newWatchService()) {
            path.register(
                    service,
                    StandardWatchEventKinds.ENTRY_CREATE,
                    StandardWatchEventKinds.ENTRY_MODIFY,
                    StandardWatchEventKinds.ENTRY_DELETE);
            while (true) {
                WatchKey key = service.take();
                boolean ofConfiguration = key.pollEvents().stream()
                        .anyMatch(event -> String.valueOf(event.context()).endsWith(".yaml"));
                key.reset();
                if (ofConfiguration) {
                    session.refresh(READ_MILLIS);
                    publish(session, path, output);
                }
            }
        }
    }
}
