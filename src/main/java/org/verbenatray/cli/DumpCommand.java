package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.settings.SettingsCheck;

/** Prints the state of a process. */
@Parameters(commandDescription = "Prints the state of the instance whose operators' address is given.")
final class DumpCommand implements Command {
    /** The time that the instance may take. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** The operators' address. */
    @Parameter(description = "ADDRESS, such as http://127.0.0.1:8081", required = true)
    private String address;

    @Override
    public int run(CommandOutput output) throws Exception {
        SettingsCheck check = SettingsCheck.create();
        String checked = check.uri("ADDRESS", address);
        check.finish();
        HttpRequest request = HttpRequest.newBuilder(URI.create(checked + "/state"))
                .timeout(TIMEOUT)
                .build();
        String body = HttpClient.newHttpClient()
                .send(request, BodyHandlers.ofString())
                .body();
        Object parsed = RecordCodec.mapper().readValue(body, Object.class);
        output.out()
                .println(RecordCodec.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(parsed));
        return ExitCode.DONE;
    }
}
