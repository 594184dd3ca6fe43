package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.settings.SettingsCheck;

/** Prints where an instance on the users' machines would send a request now, and why, without sending it. */
@Parameters(commandDescription = "Prints where a request would go now, and why, without sending it.")
final class DestinationCommand implements Command {
    private static final int OK = 200;

    @Parameter(description = "ADDRESS of the metrics port, such as http://127.0.0.1:9464", required = true)
    private String address;

    @Parameter(names = "--host", description = "Host of the request", required = true)
    private String host;

    @Parameter(names = "--path", description = "Path of the request", required = true)
    private String path;

    @Parameter(names = "--customer", description = "Name of the customer whose key the request carries")
    private String customer;

    @Parameter(names = "--model", description = "Model of a prompt")
    private String model;

    @Parameter(names = "--tokens", description = "Number of tokens of the prompt, of a request that generates output")
    private String tokens;

    @Parameter(names = "--output", description = "Largest number of tokens to generate")
    private String output;

    @Parameter(
            names = "--part",
            description = "Shared part of the prompt as ID:TOKENS; repeat it for several, in order")
    private List<String> parts = new ArrayList<>();

    @Override
    public int run(CommandOutput out) throws IOException {
        SettingsCheck check = SettingsCheck.create();
        String checked = check.uri("ADDRESS", address);
        check.throwIfInvalid();
        try (OperatorsClient client = OperatorsClient.create()) {
            BufferedResponse response = client.get(checked, "/destination?" + query());
            if (response.status() != OK) {
                out.err()
                        .println(checked + " answered " + response.status() + ": "
                                + response.text().strip());
                return ExitCode.FAILURE;
            }
            out.out().print(response.text());
            return ExitCode.SUCCESS;
        }
    }

    private String query() {
        List<String> pairs = new ArrayList<>();
        add(pairs, "host", host);
        add(pairs, "path", path);
        add(pairs, "customer", customer);
        add(pairs, "model", model);
        add(pairs, "tokens", tokens);
        add(pairs, "output", output);
        parts.forEach(part -> add(pairs, "part", part));
        return String.join("&", pairs);
    }

    private static void add(List<String> pairs, String name, String value) {
        if (value != null) {
            pairs.add(name + "=" + URLEncoder.encode(value, StandardCharsets.UTF_8));
        }
    }
}
