package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.standin.ServiceServer;

/** Runs a stand-in plain service until the process is stopped. */
@Parameters(commandDescription = "Runs a stand-in plain service that counts how often each call ran.")
final class StandinServiceCommand implements Command {
    @Parameter(names = "--listen", description = "IP address and port; port 0 lets the system choose")
    private String listen = "127.0.0.1:9500";

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        var address = check.address("--listen", listen);
        check.throwIfInvalid();
        ServiceServer service = ServiceServer.start(address);
        output.out().println("service=" + service.address());
        return ProcessShutdown.awaitThenRun(service::close);
    }
}
