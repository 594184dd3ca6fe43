package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.web.StreamedReply;

/** Sends an answer as server-sent events; a failure before the first token is sent as a plain refusal. */
final class SseAnswer implements AnswerSink {
    /** The request. */
    private final CompletionRequest request;

    /** The exchange. */
    private final HttpServerExchange exchange;

    /** The reply. */
    private final StreamedReply reply;

    /** Whether the head was sent. */
    private boolean begun;

    /** Creates an answer. */
    SseAnswer(CompletionRequest request, HttpServerExchange exchange, StreamedReply reply) {
        this.request = request;
        this.exchange = exchange;
        this.reply = reply;
    }

    @Override
    public void tokens(List<String> tokens) {
        begin();
        send(CompletionDocuments.piece(request, String.join("", tokens), Optional.empty()));
    }

    @Override
    public void end(String finish, int outputTokens) {
        begin();
        send(CompletionDocuments.piece(request, "", Optional.of(finish)));
        reply.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        reply.end();
    }

    @Override
    public void fail(Refusal refusal) {
        if (!begun) {
            RefusalReply.send(exchange, refusal);
            return;
        }
        String event = "event: error\ndata: " + RecordCodec.encode(refusal.document()) + "\n\n";
        reply.write(event.getBytes(StandardCharsets.UTF_8));
        reply.abort();
    }

    /** Sends the head once. */
    private void begin() {
        if (!begun) {
            begun = true;
            reply.begin("text/event-stream");
        }
    }

    /** Sends one event. */
    private void send(CompletionDocuments.Completion document) {
        reply.write(("data: " + RecordCodec.encode(document) + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
