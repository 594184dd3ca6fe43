package org.verbenatray.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.verbenatray.backends.Backend;
import org.verbenatray.backends.BackendLoad;
import org.verbenatray.backends.BackendStage;
import org.verbenatray.backends.CacheChanges;
import org.verbenatray.backends.ServerStatement;
import org.verbenatray.catalog.ApiKey;
import org.verbenatray.catalog.Customer;
import org.verbenatray.placement.PromptBlock;
import org.verbenatray.placement.PromptShape;
import org.verbenatray.relay.EndToEndHeaders;
import org.verbenatray.relay.ForwardOptions;
import org.verbenatray.relay.PrefilledPrompt;
import org.verbenatray.relay.RelayDialect;
import org.verbenatray.relay.RelayRequest;
import org.verbenatray.relay.ServerResponseHead;
import org.verbenatray.relay.StageController.StageOrder;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.CallPurpose;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.ResponseHead;
import org.verbenatray.telemetry.Event;
import org.verbenatray.time.Deadline;

/** Translates between the relay's types and the HTTP headers and JSON bodies of the platform's protocol. */
final class PlatformProtocol implements RelayDialect {
    /** The status with which a server responds if it is not the expected one. */
    static final int STATUS_MISDIRECTED_REQUEST = 421;

    /** The caller's id of an attempt. */
    private static final HttpString REQUEST_ID = new HttpString("Request-Id");

    /** The time in milliseconds for which the sender waits; a duration, not a point in time. */
    private static final String DEADLINE_MILLIS = "Deadline-Ms";

    /** The id of the last event that the caller received. */
    private static final String LAST_EVENT_ID = "Last-Event-Id";

    /** The request id of the attempt that brought the first event of the stream that a caller takes up. */
    private static final String RESUMES = "Resumes";

    /** The number of prompt tokens and the maximum number of output tokens, separated by a comma. */
    private static final HttpString TOKEN_COUNT = new HttpString("Token-Count");

    /** The blocks of the prompt as a comma-separated list of id:tokens. */
    private static final HttpString PROMPT_PREFIX = new HttpString("Prompt-Prefix");

    private static final HttpString MODEL = new HttpString("Model");

    /** The API key of a caller; between instances only, never sent to a server. */
    private static final HttpString API_KEY = new HttpString("Key");

    /** The name of the customer that holds the key of a request. */
    private static final HttpString CUSTOMER = new HttpString("Tenant");

    /** The id of the server that must handle the request; any other server responds with 421. */
    private static final String EXPECT_INSTANCE = "Expect-Instance";

    /** The priority from 0 to 9; 0 is the highest. */
    private static final String REQUEST_PRIORITY = "Request-Priority";

    /** The stage that an engine runs of the request. */
    private static final String SERVING_STAGE = "Serving-Stage";

    /** The engine that holds the KV cache of the prefilled prompt, and its handle there. */
    private static final String KV_SOURCE = "Kv-Source";

    /** The engine from which cached KV entries of the prompt's prefix are fetched. */
    private static final String KV_FETCH = "Kv-Fetch";

    /** A digest of the response, set by the server itself. */
    private static final HttpString SERVER_STAMP = new HttpString("Server-Stamp");

    /** Set by a server that did not run the request. */
    private static final HttpString NOT_RUN = new HttpString("Not-Run");

    /** The lowest priority. */
    private static final int LOWEST_PRIORITY = 9;

    /** The headers that only the system sets; those of callers are dropped. In lower case. */
    private static final Set<String> INTERNAL_HEADERS = Set.of(
            "deadline-ms",
            "last-event-id",
            "expect-instance",
            "expect-version",
            "request-priority",
            "serving-stage",
            "kv-source",
            "kv-fetch",
            "kv-backup",
            "kv-hold",
            "pin-ms");

    private static final Logger log = System.getLogger(PlatformProtocol.class.getName());

    private final ObjectMapper json = new ObjectMapper();

    private final ServerStatementReader statements = new ServerStatementReader();

    private PlatformProtocol() {}

    /** Returns a new translator. */
    static PlatformProtocol create() {
        return new PlatformProtocol();
    }

    @Override
    public Optional<RelayRequest> readRequest(HttpServerExchange exchange, byte[] body, long receivedNanos) {
        HeaderMap headers = exchange.getRequestHeaders();
        String id = headers.getFirst(REQUEST_ID);
        if (id == null || id.isEmpty()) {
            return Optional.empty();
        }
        Map<String, String> forwardedHeaders = EndToEndHeaders.from(headers);
        forwardedHeaders.keySet().removeIf(name -> INTERNAL_HEADERS.contains(name.toLowerCase(Locale.ROOT)));
        String query = exchange.getQueryString();
        return Optional.of(new RelayRequest(
                id,
                exchange.getSourceAddress().getAddress().getHostAddress(),
                exchange.getRequestMethod().toString(),
                exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query),
                Optional.ofNullable(headers.getFirst(Headers.HOST)).orElse(""),
                forwardedHeaders,
                body,
                receivedNanos,
                parseDeadlineMillis(headers.getFirst(DEADLINE_MILLIS))
                        .map(millis -> Deadline.afterMillis(receivedNanos, millis)),
                parsePromptShape(headers),
                Optional.ofNullable(headers.getFirst(LAST_EVENT_ID)),
                Optional.ofNullable(headers.getFirst(RESUMES)).filter(named -> !named.isEmpty()),
                Optional.ofNullable(headers.get(API_KEY)).map(values -> ApiKey.of(String.join(", ", values)))));
    }

    @Override
    public RelayRequest identified(RelayRequest request, Optional<Customer> customer) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.keySet().removeIf(name -> API_KEY.equalToString(name) || CUSTOMER.equalToString(name));
        customer.ifPresent(holder -> headers.put(CUSTOMER.toString(), holder.name()));
        return request.withHeaders(headers);
    }

    @Override
    public HttpCall forward(RelayRequest request, ForwardOptions options) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.put(DEADLINE_MILLIS, Long.toString(Math.max(1, options.timeoutMillis())));
        headers.put(EXPECT_INSTANCE, options.backend().entry().id());
        options.lastEventId().ifPresent(last -> headers.put(LAST_EVENT_ID, last));
        if (request.prompt().isPresent()) {
            headers.put(REQUEST_PRIORITY, Integer.toString(Math.min(LOWEST_PRIORITY, options.priority())));
        }
        if (options.prefillOnly()) {
            headers.put(SERVING_STAGE, "prefill");
        }
        options.fetchFrom()
                .ifPresent(
                        engine -> headers.put(KV_FETCH, engine.entry().address().getAuthority()));
        options.prefilledPrompt()
                .ifPresent(prompt -> headers.put(
                        KV_SOURCE, prompt.engine().entry().address().getAuthority() + "/" + prompt.handle()));
        return new HttpCall(
                request.method(),
                options.backend().entry().address(),
                request.target(),
                headers,
                request.body(),
                options.connectionUse(),
                options.backend().entry().bootId(),
                Optional.of(request.id()),
                CallPurpose.REQUEST);
    }

    @Override
    public HttpCall forwardToInstance(RelayRequest request, URI instance, long timeoutMillis) {
        Map<String, String> headers = new LinkedHashMap<>(request.headers());
        headers.put(DEADLINE_MILLIS, Long.toString(timeoutMillis));
        request.apiKey().ifPresent(key -> {
            headers.keySet().removeIf(CUSTOMER::equalToString);
            headers.put(API_KEY.toString(), key.value());
        });
        request.lastEventId().ifPresent(last -> headers.put(LAST_EVENT_ID, last));
        return HttpCall.create(request.method(), instance, request.target(), headers, request.body())
                .onNewConnection();
    }

    @Override
    public ServerResponseHead parseHead(RelayRequest request, ResponseHead head) {
        HeaderMap headers = head.headers();
        String id = headers.getFirst(REQUEST_ID);
        boolean matchesRequestId = id == null ? head.status() >= 400 : id.equals(request.id());
        boolean stamped = headers.contains(SERVER_STAMP) && !headers.contains(Headers.CONTENT_ENCODING);
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        return new ServerResponseHead(
                head.status(),
                EndToEndHeaders.from(headers),
                matchesRequestId,
                stamped,
                request.id().equals(id) && (headers.contains(NOT_RUN) || head.status() == STATUS_MISDIRECTED_REQUEST),
                head.status() == 200 && type != null && type.startsWith("text/event-stream"),
                statements.read(head.status(), name -> Optional.ofNullable(headers.getFirst(name))));
    }

    @Override
    public Optional<ServerStatement> statement(BufferedResponse response) {
        return statements.read(
                response.status(), name -> response.header(name.toString().toLowerCase(Locale.ROOT)));
    }

    @Override
    public Optional<String> parsePrefillHandle(byte[] body) {
        try {
            JsonNode handle = json.readTree(body).path("kvHandle");
            return handle.isTextual() ? Optional.of(handle.asText()) : Optional.empty();
        } catch (IOException e) {
            Event.named("prefill_answer_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
            return Optional.empty();
        }
    }

    @Override
    public HttpCall release(PrefilledPrompt prompt) {
        return HttpCall.create(
                        "DELETE",
                        prompt.engine().entry().address(),
                        "/kv-handle/" + prompt.handle(),
                        Map.of(EXPECT_INSTANCE, prompt.engine().entry().id()),
                        new byte[0])
                .withConnection(ConnectionUse.POOLED, prompt.engine().entry().bootId());
    }

    @Override
    public HttpCall load(Backend backend) {
        return HttpCall.create("GET", backend.entry().address(), "/report", Map.of(), new byte[0])
                .withConnection(ConnectionUse.POOLED, backend.entry().bootId())
                .withPurpose(CallPurpose.POLL);
    }

    @Override
    public Optional<BackendLoad> load(byte[] body) {
        try {
            JsonNode node = json.readTree(body);
            if (!node.has("running")) {
                throw new IOException("the fields of a report are missing");
            }
            return Optional.of(new BackendLoad(
                    node.path("waiting").asInt(),
                    node.path("running").asInt(),
                    node.path("kvUsed").asLong(),
                    node.path("kvTotal").asLong(),
                    node.path("next").asLong(),
                    node.path("busy").asBoolean(),
                    node.path("seq").asLong()));
        } catch (IOException e) {
            Event.named("report_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
            return Optional.empty();
        }
    }

    @Override
    public HttpCall cacheChanges(Backend backend, long since) {
        return HttpCall.create("GET", backend.entry().address(), "/kv-events?since=" + since, Map.of(), new byte[0])
                .withConnection(ConnectionUse.POOLED, backend.entry().bootId())
                .withPurpose(CallPurpose.POLL);
    }

    @Override
    public Optional<CacheChanges> cacheChanges(byte[] body) {
        try {
            JsonNode node = json.readTree(body);
            if (!node.has("epoch") || !node.has("next")) {
                throw new IOException("the fields of cache changes are missing");
            }
            List<CacheChanges.Change> changes = new ArrayList<>();
            for (JsonNode event : node.path("events")) {
                boolean cached = event.path(1).asText().equals("+");
                changes.add(new CacheChanges.Change(
                        event.path(3).asText(), cached ? event.path(4).asInt() : 0));
            }
            return Optional.of(new CacheChanges(
                    node.path("epoch").asText(),
                    node.path("next").asLong(),
                    node.path("lost").asBoolean(),
                    changes));
        } catch (IOException e) {
            Event.named("cache_changes_malformed").with("why", e.getMessage()).log(log, Level.WARNING);
            return Optional.empty();
        }
    }

    @Override
    public HttpCall changeStage(StageOrder order) {
        ObjectNode body = json.createObjectNode()
                .put("op", "stage")
                .put("stage", order.stage() == BackendStage.PREFILL ? "prefill" : "decode")
                .put("holder", order.holder())
                .put("fencingToken", order.fencingToken())
                .put("expect", order.acceptedOrders());
        Map<String, String> headers = Map.of(
                "Content-Type",
                "application/json",
                EXPECT_INSTANCE,
                order.engine().entry().id());
        return HttpCall.create(
                        "POST",
                        order.engine().entry().address(),
                        "/order",
                        headers,
                        body.toString().getBytes(StandardCharsets.UTF_8))
                .onNewConnection();
    }

    @Override
    public void addRetryAfter(HeaderMap headers, long millis) {
        headers.put(Headers.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", millis / 1_000.0));
    }

    @Override
    public void addRequestId(HeaderMap headers, String requestId) {
        headers.put(REQUEST_ID, requestId);
    }

    /** Returns the time in milliseconds for which a caller waits; empty if the header is missing or malformed. */
    private static Optional<Long> parseDeadlineMillis(String value) {
        try {
            return value == null ? Optional.empty() : Optional.of(Math.max(0, Long.parseLong(value.trim())));
        } catch (NumberFormatException e) {
            Event.named("deadline_malformed").with("value", value).log(log, Level.WARNING);
            return Optional.empty();
        }
    }

    /** Returns the size of a generation request; empty for other requests and if a header is malformed. */
    private static Optional<PromptShape> parsePromptShape(HeaderMap headers) {
        String tokens = headers.getFirst(TOKEN_COUNT);
        if (tokens == null) {
            return Optional.empty();
        }
        try {
            String[] counts = tokens.split(",");
            List<PromptBlock> blocks = new ArrayList<>();
            String prefix = headers.getFirst(PROMPT_PREFIX);
            for (String block : prefix == null || prefix.isBlank() ? new String[0] : prefix.split(",")) {
                int colon = block.lastIndexOf(':');
                blocks.add(new PromptBlock(
                        block.substring(0, colon).trim(),
                        Integer.parseInt(block.substring(colon + 1).trim())));
            }
            return Optional.of(new PromptShape(
                    Optional.ofNullable(headers.getFirst(MODEL)).orElse(""),
                    Integer.parseInt(counts[0].trim()),
                    counts.length > 1 ? Integer.parseInt(counts[1].trim()) : 0,
                    blocks));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            Event.named("prompt_size_malformed").with("value", tokens).log(log, Level.WARNING);
            return Optional.empty();
        }
    }
}
