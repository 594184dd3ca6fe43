package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.verbenatray.configuration.EngineRole;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.standin.EngineServer;
import org.verbenatray.standin.engine.EngineModelSpec;

/** Runs a stand-in engine until the process is stopped. */
@Parameters(commandDescription = "Runs a stand-in model engine.")
final class StandinEngineCommand implements Command {
    @Parameter(names = "--name", description = "Name of the engine")
    private String name;

    @Parameter(names = "--listen", description = "IP address and port; port 0 lets the system choose")
    private String listen = "127.0.0.1:9000";

    @Parameter(names = "--models", description = "Loaded models as NAME@VERSION, separated by commas")
    private List<String> models = List.of("quick-check@1");

    @Parameter(names = "--role", description = "Initial role: both, prefill or decode")
    private String role = "both";

    @Parameter(names = "--prefill-tokens-per-second", description = "Prefill rate in tokens per second")
    private String prefillTokensPerSecond = "20000";

    @Parameter(
            names = "--decode-step-millis",
            description = "Duration of a decode step with one stream in milliseconds")
    private String decodeStepMillis = "10";

    @Parameter(names = "--ignore-fencing", description = "Accepts orders with an outdated fencing token")
    private boolean ignoreFencing;

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        String checkedName = check.name("--name", name);
        var address = check.address("--listen", listen);
        EngineRole initialRole = check.choice("--role", role, EngineRole.class);
        long prefill = check.number("--prefill-tokens-per-second", prefillTokensPerSecond, 1, 100_000_000);
        long step = check.number("--decode-step-millis", decodeStepMillis, 1, 10_000);
        Map<String, String> versions = versions(check);
        check.throwIfInvalid();
        EngineModelSpec.Limits limits = EngineModelSpec.Limits.defaults().withInitialRole(initialRole);
        EngineModelSpec spec = new EngineModelSpec(prefill, step, 0.2, 64, 1_000_000, limits);
        EngineServer engine = EngineServer.start(checkedName, address, spec, versions, !ignoreFencing);
        output.out().println("engine=" + engine.address());
        return ProcessShutdown.awaitThenRun(engine::close);
    }

    /** Returns the loaded versions by model name. */
    private Map<String, String> versions(SettingsCheck check) {
        Map<String, String> versions = new LinkedHashMap<>();
        for (String model : models) {
            String[] parts = model.split("@", 2);
            if (parts.length != 2 || parts[0].isBlank() || parts[1].isBlank()) {
                check.report("--models", model, "give NAME@VERSION");
            } else {
                versions.put(parts[0], parts[1]);
            }
        }
        return versions;
    }
}
