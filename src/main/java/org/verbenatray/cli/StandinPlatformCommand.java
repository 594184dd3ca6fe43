package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.standin.InMemoryLog;
import org.verbenatray.standin.PlatformServer;
import org.verbenatray.time.Ticker;

/** Runs a stand-in platform. */
@Parameters(commandDescription = "Runs a stand-in platform: log service and instance list in memory.")
final class StandinPlatformCommand implements Command {
    /** The address. */
    @Parameter(names = "--listen", description = "IP number and port; port 0 lets the system choose")
    private String listen = "127.0.0.1:7000";

    /** The rate limit. */
    @Parameter(names = "--appends-per-second", description = "Largest rate of append calls")
    private String appendsPerSecond = "300";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        var address = check.address("--listen", listen);
        long rate = check.number("--appends-per-second", appendsPerSecond, 1, 1_000_000);
        check.finish();
        PlatformServer platform =
                PlatformServer.start(address, InMemoryLog.withRateLimit(Ticker.system(), (double) rate));
        output.out().println("platform=" + platform.address());
        return Processes.untilStopped(platform::close);
    }
}
