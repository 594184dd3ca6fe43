package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.standin.InMemoryLog;
import org.verbenatray.standin.PlatformServer;
import org.verbenatray.time.Ticker;

/** Runs a stand-in platform until the process is stopped. */
@Parameters(commandDescription = "Runs a stand-in platform with a log service and an instance list in memory.")
final class StandinPlatformCommand implements Command {
    @Parameter(names = "--listen", description = "IP address and port; port 0 lets the system choose")
    private String listen = "127.0.0.1:7000";

    @Parameter(names = "--appends-per-second", description = "Maximum rate of append calls")
    private String appendsPerSecond = "300";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        var address = check.address("--listen", listen);
        long rate = check.number("--appends-per-second", appendsPerSecond, 1, 1_000_000);
        check.throwIfInvalid();
        PlatformServer platform =
                PlatformServer.start(address, InMemoryLog.withRateLimit(Ticker.system(), (double) rate));
        output.out().println("platform=" + platform.address());
        return ProcessShutdown.awaitThenRun(platform::close);
    }
}
