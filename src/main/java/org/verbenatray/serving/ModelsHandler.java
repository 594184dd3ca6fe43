package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.function.Supplier;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.web.Replies;

/** Lists the configured models to customers. */
final class ModelsHandler implements HttpHandler {
    /** No body. */
    private static final byte[] NO_BODY = new byte[0];

    /** The configuration in force. */
    private final Supplier<ActiveConfiguration> configuration;

    /** Reads requests. */
    private final RequestReader reader;

    /** Finds customers. */
    private final IdentifyFilter identify;

    /** Creates a handler. */
    ModelsHandler(ServingParts parts) {
        this.configuration = parts.configuration();
        this.reader =
                new RequestReader(parts.defaultTimeoutMillis(), parts.relay().ticker());
        this.identify = new IdentifyFilter(parts.configuration());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        try {
            identify.apply(reader.read(exchange, NO_BODY));
            list(exchange);
        } catch (RefusalException e) {
            RefusalReply.send(exchange, e.refusal());
        }
    }

    /** Sends the list. */
    private void list(HttpServerExchange exchange) {
        List<Model> models = configuration.get().fleet().models().keySet().stream()
                .sorted()
                .map(name -> new Model(name, "model", "verbenatray"))
                .toList();
        Replies.json(exchange, 200, new Listing("list", models));
    }

    /**
     * The list.
     *
     * @param object the type of the document
     * @param data the models
     */
    private record Listing(String object, List<Model> data) {}

    /**
     * One model.
     *
     * @param id the name
     * @param object the type of the document
     * @param ownedBy the system that serves it
     */
    private record Model(
            String id,
            String object,
            @JsonProperty("owned_by") String ownedBy) {}
}
