package org.verbenatray.serving;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.List;
import java.util.function.Supplier;
import org.verbenatray.configuration.ActiveConfiguration;
import org.verbenatray.web.Responses;

/** Serves the list of configured models, in the format of the OpenAI API. */
final class ModelsHandler implements HttpHandler {
    private static final byte[] NO_BODY = new byte[0];
    private final Supplier<ActiveConfiguration> configuration;
    private final RequestReader reader;
    private final CustomerAuthenticator authenticator;

    ModelsHandler(ServingContext context) {
        this.configuration = context.configuration();
        this.reader = new RequestReader(
                context.defaultTimeoutMillis(), context.relayContext().ticker());
        this.authenticator = new CustomerAuthenticator(context.configuration());
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        try {
            authenticator.apply(reader.read(exchange, NO_BODY));
            list(exchange);
        } catch (RefusalException e) {
            RefusalResponses.send(exchange, e.refusal());
        }
    }

    private void list(HttpServerExchange exchange) {
        List<Model> models = configuration.get().fleet().models().keySet().stream()
                .sorted()
                .map(name -> new Model(name, "model", "verbenatray"))
                .toList();
        Responses.sendJson(exchange, 200, new Listing("list", models));
    }

    /**
     * The JSON document of the list.
     *
     * @param object the type of the document
     * @param data the models
     */
    private record Listing(String object, List<Model> data) {}

    /**
     * The JSON form of a model.
     *
     * @param id the name of the model
     * @param object the type of the document
     * @param ownedBy the system that serves the model
     */
    private record Model(
            String id,
            String object,
            @JsonProperty("owned_by") String ownedBy) {}
}
