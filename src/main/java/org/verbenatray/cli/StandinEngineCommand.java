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

/** Runs a stand-in engine. */
@Parameters(commandDescription = "Runs a stand-in model engine.")
final class StandinEngineCommand implements Command {
    /** The name. */
    @Parameter(names = "--name", description = "Name of the engine")
    private String name;

    /** The address. */
    @Parameter(names = "--listen", description = "IP number and port; port 0 lets the system choose")
    private String listen = "127.0.0.1:9000";

    /** The models. */
    @Parameter(names = "--models", description = "Loaded models as NAME@VERSION, separated by commas")
    private List<String> models = List.of("gate-check@1");

    /** The role. */
    @Parameter(names = "--role", description = "Initial role: both, prefill or decode")
    private String role = "both";

    /** The prefill rate. */
    @Parameter(names = "--prefill-tokens-per-second", description = "Rate at which prompts are processed")
    private String prefillTokensPerSecond = "20000";

    /** The decode step. */
    @Parameter(names = "--decode-step-millis", description = "Time of a decode step of one stream")
    private String decodeStepMillis = "10";

    /** Whether old fencing numbers are ignored. */
    @Parameter(names = "--ignore-fencing", description = "Takes orders that carry an old fencing number")
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
        check.finish();
        EngineModelSpec.Limits limits = EngineModelSpec.Limits.defaults().inRole(initialRole);
        EngineModelSpec spec = new EngineModelSpec(prefill, step, 0.2, 64, 1_000_000, limits);
        EngineServer engine = EngineServer.start(checkedName, address, spec, versions, !ignoreFencing);
        output.out().println("engine=" + engine.address());
        return Processes.untilStopped(engine::close);
    }

    /** Returns the loaded versions by model. */
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
