package org.verbenatray.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.verbenatray.load.CallResult.Outcome;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.servers.Cancellation;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.servers.LineSplitter;
import org.verbenatray.servers.ResponseListener;
import org.verbenatray.servers.ServerFailure;
import org.verbenatray.time.Ticker;
import org.xnio.XnioIoThread;

/** Sends calls to entry instances and verifies the responses. */
public final class LoadCaller {
    private final HttpTransport transport;

    private final String key;

    /** The time after which a call without a complete response counts as lost, in milliseconds. */
    private final long timeoutMillis;

    private LoadCaller(HttpTransport transport, String key, long timeoutMillis) {
        this.transport = transport;
        this.key = key;
        this.timeoutMillis = timeoutMillis;
    }

    /** Returns a caller that sends the given API key and counts calls as lost after the timeout. */
    public static LoadCaller create(HttpTransport transport, String key, long timeoutMillis) {
        return new LoadCaller(transport, key, timeoutMillis);
    }

    /**
     * Sends a call to the instance with the given base URI. The future never fails: every failure is a {@link
     * CallResult}.
     */
    public CompletableFuture<CallResult> call(String address, LoadCall call) {
        XnioIoThread thread = transport.anyThread();
        Map<String, String> headers = new HashMap<>(call.headers());
        headers.put("Authorization", "Bearer " + key);
        headers.put("Content-Type", "application/json");
        HttpCall request = HttpCall.create(
                "POST", URI.create(address), call.path(), headers, call.body().getBytes(StandardCharsets.UTF_8));
        ResponseCollector collector = new ResponseCollector(call, transport.ticker());
        Cancellation cancellation = transport.exchange(request, thread, collector);
        XnioIoThread.Key timer = thread.executeAfter(
                () -> {
                    collector.finish(Outcome.LOST, "no complete response within the timeout");
                    cancellation.cancel();
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
        collector.result.whenComplete((result, failure) -> timer.remove());
        return collector.result;
    }

    /** Collects and verifies one response; used on the I/O thread of the call. */
    private static final class ResponseCollector implements ResponseListener {
        private final LoadCall call;

        private final Ticker ticker;

        /** The time at which the call was sent. */
        private final long startNanos;

        private final CompletableFuture<CallResult> result = new CompletableFuture<>();

        /** Splits the response body into lines. */
        private final LineSplitter lines = new LineSplitter(this::onLine);

        private final StringBuilder text = new StringBuilder();

        /** The body of a response that is not streamed. */
        private final StringBuilder unstreamedBody = new StringBuilder();

        private int status;

        /** The number of stream events with text so far. */
        private int events;

        /** The time of the first event; valid once {@code events} is positive. */
        private long firstNanos;

        /** The time of the last event; valid once {@code events} is positive. */
        private long lastNanos;

        /** Whether the stream ended with its end marker. */
        private boolean endMarkerSeen;

        /** The error event of the stream, empty if there was none. */
        private String errorEvent = "";

        ResponseCollector(LoadCall call, Ticker ticker) {
            this.call = call;
            this.ticker = ticker;
            this.startNanos = ticker.nanos();
        }

        @Override
        public void onHead(int newStatus, Map<String, String> headers) {
            status = newStatus;
        }

        @Override
        public void onBody(ByteBuffer chunk) {
            lines.feed(chunk);
        }

        @Override
        public void onEnd() {
            lines.feed(ByteBuffer.wrap(new byte[] {'\n'}));
            if (status != 200) {
                finishWithError(unstreamedBody.toString());
            } else if (call.kind() == LoadCallKind.ISSUANCE) {
                finish(Outcome.WHOLE, "");
            } else if (!endMarkerSeen) {
                finish(Outcome.LOST, "the stream ended without its end marker");
            } else if (call.expectedText().isPresent()
                    && !call.expectedText().get().contentEquals(text)) {
                finish(Outcome.WRONG, "the text differs from the expected text of this request");
            } else {
                finish(Outcome.WHOLE, "");
            }
        }

        @Override
        public void onFailure(ServerFailure failure) {
            if (!errorEvent.isEmpty()) {
                finishWithError(errorEvent);
            } else if (failure.kind() == ServerFailure.Kind.NOT_CONNECTED) {
                finish(Outcome.NOT_RUN, failure.getMessage());
            } else {
                finish(Outcome.LOST, failure.getMessage());
            }
        }

        /** Handles one line of the body. */
        private void onLine(String line) {
            if (status != 200 || call.kind() == LoadCallKind.ISSUANCE) {
                unstreamedBody.append(line);
            } else if (line.equals("data: [DONE]")) {
                endMarkerSeen = true;
            } else if (line.startsWith("data: ")) {
                onEvent(line.substring("data: ".length()));
            }
        }

        /** Handles one event of the stream. */
        private void onEvent(String json) {
            JsonNode document = RecordCodec.decode(json, JsonNode.class);
            if (document.has("error")) {
                errorEvent = json;
                return;
            }
            lastNanos = ticker.nanos();
            firstNanos = events == 0 ? lastNanos : firstNanos;
            events++;
            text.append(document.path("choices").path(0).path("text").asText(""));
        }

        /** Completes the result from an error document, which states whether the call ran. */
        private void finishWithError(String json) {
            boolean notRun = json.contains("\"ran\":\"no\"");
            finish(notRun ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN, status + " " + json);
        }

        /** Completes the result; does nothing if it is already complete. */
        private void finish(Outcome outcome, String detail) {
            long now = ticker.nanos();
            long first = events == 0 ? now - startNanos : firstNanos - startNanos;
            long between = events < 3 ? 0 : (lastNanos - firstNanos) / (events - 1);
            result.complete(new CallResult(call.kind(), outcome, first, between, now - startNanos, detail));
        }
    }
}
