package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.logging.Level;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.PlatformMachine;
import org.verbenatray.settings.HangupSignal;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.telemetry.KeyValueFormatter;

/** Runs a relaying instance on a machine of the users' platform. */
@Parameters(commandDescription = "Runs a relaying instance by a machine's settings file until SIGTERM, then drains it.")
final class RelayCommand implements Command {
    /** The settings file. */
    @Parameter(names = "--config", description = "Path of the machine's settings file")
    private String config;

    /** The port of the metrics. */
    @Parameter(names = "--metrics-port", description = "Port for metrics and the state dump, at the ready address")
    private String metricsPort = "9464";

    @Override
    public int run(CommandOutput output) throws Exception {
        KeyValueFormatter.installBounded(Level.INFO);
        SettingsCheck check = SettingsCheck.create();
        int port = (int) check.number("--metrics-port", metricsPort, 0, 65_535);
        String path = check.text("--config", config);
        check.finish();
        HangupSignal.install();
        RelayInstance instance = PlatformMachine.start(Path.of(path), port);
        return Processes.untilStopped(instance::drain);
    }
}
