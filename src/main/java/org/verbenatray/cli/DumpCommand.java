package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.settings.SettingsCheck;

/** Prints the state dump of an instance as formatted JSON. */
@Parameters(commandDescription = "Prints the state dump of the instance at the given operators' address.")
final class DumpCommand implements Command {
    private static final int OK = 200;

    @Parameter(description = "ADDRESS, such as http://127.0.0.1:8081", required = true)
    private String address;

    @Override
    public int run(CommandOutput output) throws IOException {
        SettingsCheck check = SettingsCheck.create();
        String checked = check.uri("ADDRESS", address);
        check.throwIfInvalid();
        try (OperatorsClient client = OperatorsClient.create()) {
            BufferedResponse response = client.get(checked, "/state");
            if (response.status() != OK) {
                output.err()
                        .println(checked + " answered " + response.status()
                                + "; give the address of an instance's operators' port");
                return ExitCode.FAILURE;
            }
            Object parsed = RecordCodec.mapper().readValue(response.body(), Object.class);
            output.out()
                    .println(RecordCodec.mapper()
                            .writerWithDefaultPrettyPrinter()
                            .writeValueAsString(parsed));
            return ExitCode.SUCCESS;
        }
    }
}
