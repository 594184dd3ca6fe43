package org.verbenatray.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.verbenatray.backends.BackendDirectory.Listing;
import org.verbenatray.backends.BackendEntry;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.log.KeyedLog;
import org.verbenatray.servers.Ipv4Address;
import org.verbenatray.telemetry.Event;

/**
 * Decodes the JSON entries in which backend servers list themselves.
 *
 * <p>An entry may come from another writer and hold anything. One with a missing field, or a field of another type or
 * range, names no server; it is logged once for each content.
 */
final class ServerEntryDecoder {
    /** The ids that can be sent in a header. */
    private static final Pattern ID = Pattern.compile("[\\x21-\\x7e]{1,200}");

    /** The number of keys whose last odd entry is remembered, so that it is logged once. */
    private static final int MAX_LOGGED_KEYS = 256;

    /** The longest part of a key or reason that is logged. */
    private static final int MAX_LOGGED_CHARS = 120;

    /** The stages of engines; plain servers name none. */
    private static final Set<String> STAGES = Set.of("prefill", "decode", "");

    private static final Logger log = System.getLogger(ServerEntryDecoder.class.getName());

    private final ObjectMapper json = new ObjectMapper();

    /** The hashes of the odd entries that were logged last, by key. */
    private final Map<String, Integer> logged = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_LOGGED_KEYS;
        }
    };

    private ServerEntryDecoder() {}

    /** Returns a new decoder. */
    static ServerEntryDecoder create() {
        return new ServerEntryDecoder();
    }

    /** Returns the server in an entry; empty if the entry was deleted or names no server. */
    Optional<Listing> decode(KeyedLog.Entry entry) {
        if (entry.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            JsonNode node = json.readTree(entry.value().get());
            Optional<Listing> listing = isComplete(entry.key(), node)
                    ? Ipv4Address.parse(node.path("address").asText())
                            .map(address -> decodeListing(entry.key(), address, node))
                    : Optional.empty();
            if (listing.isEmpty()) {
                logOdd(entry, "a field is missing, or of another type or range");
            }
            return listing;
        } catch (IOException e) {
            logOdd(entry, e.getMessage());
            return Optional.empty();
        }
    }

    private void logOdd(KeyedLog.Entry entry, String why) {
        int hash = Arrays.hashCode(entry.value().orElseThrow());
        Integer last = logged.put(entry.key(), hash);
        if (last == null || last != hash) {
            Event.named("server_entry_ignored")
                    .with("key", shortened(entry.key()))
                    .with("why", shortened(why))
                    .log(log, Level.WARNING);
        }
    }

    private static String shortened(String text) {
        return text.length() <= MAX_LOGGED_CHARS ? text : text.substring(0, MAX_LOGGED_CHARS);
    }

    /** Returns whether all required fields are present, and all fields of the right type and range. */
    private static boolean isComplete(String id, JsonNode node) {
        String state = node.path("state").asText();
        return ID.matcher(id).matches()
                && node.path("service").isTextual()
                && node.path("address").isTextual()
                && node.path("zone").isTextual()
                && isWholeNumber(node.path("slots"))
                && node.path("slots").canConvertToInt()
                && isWholeNumber(node.path("seq"))
                && (node.path("born").isMissingNode() || isWholeNumber(node.path("born")))
                && (node.path("version").isMissingNode() || node.path("version").isTextual())
                && (node.path("stage").isMissingNode()
                        || STAGES.contains(node.path("stage").asText()))
                && (state.equals("ready") || state.equals("draining"));
    }

    private static boolean isWholeNumber(JsonNode node) {
        return node.isIntegralNumber() && node.canConvertToLong() && node.asLong() >= 0;
    }

    private static Listing decodeListing(String id, InetSocketAddress address, JsonNode node) {
        BackendStage stage = switch (node.path("stage").asText()) {
            case "prefill" -> BackendStage.PREFILL;
            case "decode" -> BackendStage.DECODE;
            default -> BackendStage.PLAIN;
        };
        BackendEntry entry = new BackendEntry(
                id,
                node.path("service").asText(),
                URI.create("http://" + address.getHostString() + ":" + address.getPort()),
                node.path("zone").asText(),
                stage,
                node.path("state").asText().equals("draining"),
                node.path("slots").asInt(),
                node.path("version").asText(),
                node.path("spot").asBoolean(),
                node.path("born").asLong());
        return new Listing(entry, node.path("seq").asLong());
    }
}
