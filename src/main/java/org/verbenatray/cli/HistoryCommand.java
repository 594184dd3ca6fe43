package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.verbenatray.configuration.HistoryFormatter;
import org.verbenatray.instance.LogSession;
import org.verbenatray.settings.SettingsCheck;

/** Lists the published and the rejected changes of the configuration. */
@Parameters(
        commandDescription =
                "Lists the changes of the configuration with author and time, and the rejected ones with the reason.")
final class HistoryCommand implements Command {
    /** The timeout for reading the log in milliseconds. */
    private static final long LOG_READ_TIMEOUT_MILLIS = 30_000;

    @Parameter(names = "--platform", description = "Base URI of the platform")
    private String platform;

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        String checkedPlatform = check.uri("--platform", platform);
        check.throwIfInvalid();
        try (LogSession session = LogSession.open("history", checkedPlatform, LOG_READ_TIMEOUT_MILLIS)) {
            HistoryFormatter.lines(session.configuration().history())
                    .forEach(line -> output.out().println(line.text()));
            return ExitCode.SUCCESS;
        }
    }
}
