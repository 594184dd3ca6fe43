package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Path;
import java.util.logging.Level;
import org.verbenatray.instance.LoopWatchdog;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.RelayLauncher;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.telemetry.FatalErrors;
import org.verbenatray.telemetry.KeyValueFormatter;

/** Runs a relay instance on a machine of the users' platform until the process is stopped, then drains it. */
@Parameters(commandDescription = "Runs a relay instance with a machine's settings file until SIGTERM, then drains it.")
final class RelayCommand implements Command {
    /** The connect and read timeout of the self-test in milliseconds. */
    private static final int SELF_TEST_TIMEOUT_MILLIS = 5_000;

    @Parameter(names = "--config", description = "Path of the machine's settings file")
    private String config;

    @Parameter(names = "--metrics-port", description = "Port for metrics and the state dump, at the ready address")
    private String metricsPort = "9464";

    @Parameter(
            names = "--self-test",
            description = "Starts on loopback without a store, sends itself a request, and exits")
    private boolean selfTest;

    @Override
    public int run(CommandOutput output) throws Exception {
        FatalErrors fatalErrors = FatalErrors.ofProcess();
        fatalErrors.endOnUncaught();
        KeyValueFormatter.installAsync(Level.INFO, fatalErrors);
        if (selfTest) {
            return runSelfTest(output);
        }
        SettingsCheck check = SettingsCheck.create();
        int port = (int) check.number("--metrics-port", metricsPort, 0, 65_535);
        String path = check.text("--config", config);
        check.throwIfInvalid();
        RelayInstance instance = RelayLauncher.start(Path.of(path), port);
        LoopWatchdog.start(instance.loopThread(), why -> fatalErrors.end("event loop", new IllegalStateException(why)));
        return ProcessShutdown.awaitThenRun(instance::drain);
    }

    /**
     * Starts an instance without a store, sends it a request and prints whether it was rejected with 503 as expected.
     */
    private static int runSelfTest(CommandOutput output) throws Exception {
        RelayInstance instance = RelayLauncher.startStandalone();
        int port = instance.server().callersAddress().getPort();
        HttpURLConnection call = (HttpURLConnection)
                URI.create("http://127.0.0.1:" + port + "/x").toURL().openConnection();
        call.setConnectTimeout(SELF_TEST_TIMEOUT_MILLIS);
        call.setReadTimeout(SELF_TEST_TIMEOUT_MILLIS);
        boolean rejected = call.getResponseCode() == HttpURLConnection.HTTP_UNAVAILABLE;
        instance.close();
        output.out().println("self_test=" + (rejected ? "passed" : "failed"));
        return rejected ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }
}
