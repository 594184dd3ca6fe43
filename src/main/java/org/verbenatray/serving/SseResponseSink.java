package org.verbenatray.serving;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.web.StreamedResponse;

/**
 * Sends a response as server-sent events. A failure before the first token is sent as a JSON refusal with its own HTTP
 * status; a later one is sent as an error event, after which the connection is closed without the end of the body.
 */
final class SseResponseSink implements ResponseSink {
    private final CompletionRequest request;
    private final HttpServerExchange exchange;
    private final StreamedResponse response;

    /** Whether the status and the headers were sent. */
    private boolean headSent;

    SseResponseSink(CompletionRequest request, HttpServerExchange exchange, StreamedResponse response) {
        this.request = request;
        this.exchange = exchange;
        this.response = response;
    }

    @Override
    public void onTokens(List<String> tokens) {
        sendHead();
        send(CompletionDocuments.chunk(request, String.join("", tokens), Optional.empty()));
    }

    @Override
    public void onComplete(String finishReason, int outputTokens) {
        sendHead();
        send(CompletionDocuments.chunk(request, "", Optional.of(finishReason)));
        response.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        response.end();
    }

    @Override
    public void onFailure(Refusal refusal) {
        if (!headSent) {
            RefusalResponses.send(exchange, refusal);
            return;
        }
        String event = "event: error\ndata: " + RecordCodec.encode(refusal.document()) + "\n\n";
        response.write(event.getBytes(StandardCharsets.UTF_8));
        response.abort();
    }

    private void sendHead() {
        if (!headSent) {
            headSent = true;
            response.start("text/event-stream");
        }
    }

    private void send(CompletionDocuments.Completion document) {
        response.write(("data: " + RecordCodec.encode(document) + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
