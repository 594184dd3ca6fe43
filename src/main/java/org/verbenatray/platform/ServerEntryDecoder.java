package org.verbenatray.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.util.Optional;
import java.util.regex.Pattern;
import org.verbenatray.backends.BackendDirectory.Listing;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.telemetry.Event;

/**
 * Decodes the JSON entries in which backend servers list themselves.
 *
 * <p>Incomplete entries and those of other writers are ignored and logged at debug level.
 */
final class ServerEntryDecoder {
    /** An IPv4 address with a port. */
    private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");

    private static final Logger log = System.getLogger(ServerEntryDecoder.class.getName());

    private final ObjectMapper json = new ObjectMapper();

    private ServerEntryDecoder() {}

    /** Returns a new decoder. */
    static ServerEntryDecoder create() {
        return new ServerEntryDecoder();
    }

    /** Returns the server in an entry; empty if the entry was deleted or is incomplete. */
    Optional<Listing> decode(KeyedLog.Entry entry) {
        if (entry.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            JsonNode node = json.readTree(entry.value().get());
            if (isComplete(node)) {
                return Optional.of(decodeListing(entry.key(), node));
            }
        } catch (IOException e) {
            // Logged below like an entry with missing fields.
        }
        Event.named("server_entry_ignored").with("key", entry.key()).log(log, Level.DEBUG);
        return Optional.empty();
    }

    /** Returns whether all required fields are present with the right type and form. */
    private static boolean isComplete(JsonNode node) {
        String state = node.path("state").asText();
        return node.path("service").isTextual()
                && node.path("address").isTextual()
                && ADDRESS.matcher(node.path("address").asText()).matches()
                && node.path("zone").isTextual()
                && node.path("slots").isIntegralNumber()
                && node.path("seq").isIntegralNumber()
                && (state.equals("ready") || state.equals("draining"));
    }

    private static Listing decodeListing(String id, JsonNode node) {
        BackendStage stage = switch (node.path("stage").asText()) {
            case "prefill" -> BackendStage.PREFILL;
            case "decode" -> BackendStage.DECODE;
            default -> BackendStage.PLAIN;
        };
        BackendEntry entry = new BackendEntry(
                id,
                node.path("service").asText(),
                URI.create("http://" + node.path("address").asText()),
                node.path("zone").asText(),
                stage,
                node.path("state").asText().equals("draining"),
                node.path("slots").asInt(),
                node.path("version").asText(),
                node.path("born").asLong());
        return new Listing(entry, node.path("seq").asLong());
    }
}
