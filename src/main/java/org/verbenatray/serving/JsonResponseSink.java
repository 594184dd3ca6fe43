package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.verbenatray.web.Responses;

/** Collects the tokens of a response and sends them as one JSON document. */
final class JsonResponseSink implements ResponseSink {
    private final CompletionRequest request;
    private final HttpServerExchange exchange;
    private final StringBuilder text = new StringBuilder();

    JsonResponseSink(CompletionRequest request, HttpServerExchange exchange) {
        this.request = request;
        this.exchange = exchange;
    }

    @Override
    public void onTokens(List<String> tokens) {
        tokens.forEach(text::append);
    }

    @Override
    public void onComplete(String finishReason, int outputTokens) {
        Responses.sendJson(
                exchange, 200, CompletionDocuments.fullResponse(request, text.toString(), finishReason, outputTokens));
    }

    @Override
    public void onFailure(Refusal refusal) {
        RefusalResponses.send(exchange, refusal);
    }
}
