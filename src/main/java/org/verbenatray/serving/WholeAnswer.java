package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import java.util.List;
import org.verbenatray.web.Replies;

/** Sends an answer as one JSON document. */
final class WholeAnswer implements AnswerSink {
    /** The request. */
    private final CompletionRequest request;

    /** The exchange. */
    private final HttpServerExchange exchange;

    /** The text so far. */
    private final StringBuilder text = new StringBuilder();

    /** Creates an answer. */
    WholeAnswer(CompletionRequest request, HttpServerExchange exchange) {
        this.request = request;
        this.exchange = exchange;
    }

    @Override
    public void tokens(List<String> tokens) {
        tokens.forEach(text::append);
    }

    @Override
    public void end(String finish, int outputTokens) {
        Replies.json(exchange, 200, CompletionDocuments.whole(request, text.toString(), finish, outputTokens));
    }

    @Override
    public void fail(Refusal refusal) {
        RefusalReply.send(exchange, refusal);
    }
}
