package org.verbenatray.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.verbenatray.explain.Explanation;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.settings.SettingsCheck;
import org.verbenatray.telemetry.Event;

/** Prints the processing history of a request, or the last decisions to change roles, with their reasons. */
@Parameters(commandDescription = "Prints how a request was processed and why; with --role-changes the role decisions.")
final class ExplainCommand implements Command {
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9-]{1,64}");

    private static final int OK = 200;

    @Parameter(description = "REQUEST_ID, the value of the response header X-Request-Id")
    private String request;

    @Parameter(
            names = "--operators",
            description = "Base URIs of the operators' ports of the instances, separated by commas")
    private List<String> operators = new ArrayList<>();

    @Parameter(names = "--role-changes", description = "Prints the last decisions to change roles")
    private boolean roleChanges;

    @Override
    public int run(CommandOutput output) throws IOException {
        SettingsCheck check = SettingsCheck.create();
        if (operators.isEmpty()) {
            check.report("--operators", "missing", "give base URIs, such as http://10.0.0.7:8081");
        }
        List<String> addresses = operators.stream()
                .map(address -> check.uri("--operators", address))
                .toList();
        if (roleChanges == (request != null)) {
            check.report("REQUEST_ID", "both or neither of it and --role-changes", "give one of the two");
        } else if (!roleChanges && !ID.matcher(request).matches()) {
            check.report("REQUEST_ID", request, "give the value of the response header X-Request-Id");
        }
        check.throwIfInvalid();
        try (OperatorsClient client = OperatorsClient.create()) {
            return roleChanges
                    ? printRoleChanges(client, addresses, output)
                    : printExplanations(client, addresses, output);
        }
    }

    /** Prints the explanations of the request from all instances; fails if no instance has one. */
    private int printExplanations(OperatorsClient client, List<String> addresses, CommandOutput output) {
        boolean found = false;
        for (String address : addresses) {
            try {
                BufferedResponse response = client.get(address, "/explain/" + request);
                if (response.status() == OK) {
                    RecordCodec.decode(response.text(), Explanation.class)
                            .lines()
                            .forEach(output.out()::println);
                    found = true;
                }
            } catch (IOException | IllegalArgumentException e) {
                output.err().println(address + ": " + e.getMessage());
            }
        }
        if (!found) {
            output.err()
                    .println("no responding instance has request " + request
                            + "; each keeps its last 4096 requests with a known customer, ask all instances");
        }
        return found ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    /**
     * Prints the role decisions of the instances, the oldest of each instance first; fails if an instance cannot be
     * read.
     */
    private static int printRoleChanges(OperatorsClient client, List<String> addresses, CommandOutput output) {
        boolean complete = true;
        for (String address : addresses) {
            try {
                JsonNode state = RecordCodec.mapper()
                        .readTree(client.get(address, "/state").body());
                String instance = state.path("instance").path("name").asText("-");
                state.path("role_changes").forEach(decision -> output.out().println(decisionEvent(instance, decision)));
            } catch (IOException e) {
                output.err().println(address + ": " + e.getMessage());
                complete = false;
            }
        }
        return complete ? ExitCode.SUCCESS : ExitCode.FAILURE;
    }

    /** Formats one decision as key=value pairs. */
    private static Event decisionEvent(String instance, JsonNode decision) {
        JsonNode change = decision.path("change");
        JsonNode plan = decision.path("plan");
        Event event = Event.named("role_change_decided")
                .with("at", Instant.ofEpochMilli(decision.path("atMillis").asLong()))
                .with("instance", instance)
                .with("engine", change.path("engine").asText())
                .with("from", change.path("from").asText())
                .with("to", change.path("to").asText())
                .with("reason", plan.path("reason").asText())
                .with("gain_answers", tenths(change.path("gainAnswers")))
                .with("answers_without", tenths(plan.path("answers")))
                .with("out_ms", change.path("outMillis").asLong())
                .with("expected_shift_ms", plan.path("expectedShiftMillis").asLong())
                .with("alternatives", plan.path("alternatives").size());
        JsonNode second = plan.path("alternatives").path(1);
        return second.isMissingNode()
                ? event
                : event.with(
                        "next_best",
                        second.path("engine").asText() + ":" + second.path("to").asText() + ":"
                                + tenths(second.path("gainAnswers")));
    }

    /** Formats a number with one decimal. */
    private static String tenths(JsonNode number) {
        return String.format(Locale.ROOT, "%.1f", number.asDouble());
    }
}
