package org.verbenatray.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Event streams of engines: complete, interrupted, resumed, and with a separate prefill engine. */
public final class StreamRelayTest {
    /** Headers of a generation with a short prompt. */
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    /** Headers of a generation with a long prompt. */
    private static final String LONG = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    @Test
    public void aCompleteStreamIsForwarded() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start(completeStream());
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine))) {
            String response = relay.exchange(RelayFixture.postRequest("/stream/x", "id1", SHORT, "p"));
            Assert.assertTrue(response.contains("id: 1\ndata: a") && response.contains("id: 2\ndata: b"), response);
            Assert.assertTrue(response.endsWith("0\r\n\r\n"), response);
            Assert.assertTrue(response.contains("Server-Stamp: mark"), response);
        }
    }

    @Test
    public void anInterruptedStreamThatMayNotBeResumedFailsVisiblyAndRunsOnce() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(interruptedStream());
                ScriptedServer second = ScriptedServer.start(interruptedStream());
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            String response = relay.exchange(RelayFixture.postRequest("/stream/x", "id1", SHORT, "p"));
            Assert.assertTrue(response.contains("id: 1\ndata: a"), response);
            Assert.assertFalse(response.contains("id: 2"), "an incomplete event must not be forwarded: " + response);
            Assert.assertTrue(response.endsWith("<closed>"), response);
            Assert.assertEquals(
                    Stream.concat(first.requests().stream(), second.requests().stream())
                            .filter(request -> request.line().startsWith("POST"))
                            .count(),
                    1);
        }
    }

    @Test
    public void anInterruptedResumableStreamContinuesAfterTheLastCompleteEvent() throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("last-event-id").isEmpty()) {
                interruptedStream().serve(request, connection, out);
                return;
            }
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(2, "b"));
            out.write(ScriptedServer.lastChunk());
        };
        try (ScriptedServer first = ScriptedServer.start(script);
                ScriptedServer second = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            String response = relay.exchange(RelayFixture.postRequest("/resume/x", "id1", SHORT, "p"));
            Assert.assertTrue(response.endsWith("0\r\n\r\n"), response);
            Assert.assertEquals(response.split("id: 1\n", -1).length, 2, response);
            Assert.assertEquals(response.split("id: 2\n", -1).length, 2, response);
            Assert.assertEquals(
                    Stream.concat(first.requests().stream(), second.requests().stream())
                            .filter(request -> request.line().startsWith("POST"))
                            .map(request -> request.header("last-event-id"))
                            .sorted()
                            .toList(),
                    List.of("", "1"));
        }
    }

    @Test
    public void aLongPromptIsPrefilledByAPrefillEngineAndHandedOver() throws Exception {
        try (ScriptedServer prefill = ScriptedServer.start(prefillResponse());
                ScriptedServer decode = ScriptedServer.start(completeStream());
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "prefill", prefill), ServerListing.engine("e2", "decode", decode))) {
            String response = relay.exchange(RelayFixture.postRequest("/stream/x", "id1", LONG, "p"));
            Assert.assertTrue(response.endsWith("0\r\n\r\n"), response);
            ScriptedServer.Request prefillRequest = firstPost(prefill);
            Assert.assertEquals(prefillRequest.header("serving-stage"), "prefill");
            ScriptedServer.Request decodeRequest = firstPost(decode);
            Assert.assertEquals(decodeRequest.header("kv-source"), prefill.address() + "/h1");
            Assert.assertEquals(decodeRequest.header("serving-stage"), "");
        }
    }

    @Test
    public void aPrefilledPromptHasPriorityOverOthers() throws Exception {
        try (ScriptedServer prefill = ScriptedServer.start(prefillResponse());
                ScriptedServer decode = ScriptedServer.start(completeStream());
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "prefill", prefill), ServerListing.engine("e2", "decode", decode))) {
            relay.exchange(RelayFixture.postRequest("/stream/x", "id1", LONG, "p"));
            relay.exchange(RelayFixture.postRequest("/stream/x", "id2", SHORT, "p"));
            Assert.assertEquals(
                    decode.requests().stream()
                            .filter(request -> request.line().startsWith("POST"))
                            .map(request -> request.header("request-priority"))
                            .toList(),
                    List.of("0", "2"));
        }
    }

    @Test
    public void theHandleOfAPromptThatEveryEngineRejectsIsFreed() throws Exception {
        Script rejecting =
                (request, connection, out) -> out.write(ScriptedServer.response(request, 503, "Not-Run: 1\r\n", ""));
        try (ScriptedServer prefill = ScriptedServer.start(prefillResponse());
                ScriptedServer decode = ScriptedServer.start(rejecting);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "prefill", prefill), ServerListing.engine("e2", "decode", decode))) {
            String response = relay.exchange(RelayFixture.postRequest("/stream/x", "id1", LONG, "p"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
            relay.await(() -> prefill.requests().stream()
                    .anyMatch(request -> request.line().startsWith("DELETE /kv-handle/h1")));
        }
    }

    /** After a failed prefill, a decode engine that had the request at the deadline was taken not to have run it. */
    @Test
    public void aRequestThatADecodeEngineHasAtTheDeadlineIsNotCalledNotRunAfterAFailedPrefill() throws Exception {
        Script failing = (request, connection, out) -> out.write(ScriptedServer.response(request, 500, "", ""));
        Script silent = (request, connection, out) -> {};
        try (ScriptedServer prefill = ScriptedServer.start(failing);
                ScriptedServer decode = ScriptedServer.start(silent);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "prefill", prefill), ServerListing.engine("e2", "decode", decode))) {
            Map<String, String> responses = IntStream.range(0, 16)
                    .mapToObj(number -> "id" + number)
                    .parallel()
                    .collect(Collectors.toConcurrentMap(id -> id, id -> exchangeWithin(relay, id, 1_500)));
            Assert.assertFalse(postedIds(decode).isEmpty());
            postedIds(decode)
                    .forEach(id -> Assert.assertTrue(responses.get(id).startsWith("HTTP/1.1 504"), responses.get(id)));
        }
    }

    private static String exchangeWithin(RelayFixture relay, String id, long timeoutMillis) {
        String request = RelayFixture.postRequest("/stream/x", id, LONG, "p");
        try {
            return relay.exchange(request.replace("Deadline-Ms: 3000", "Deadline-Ms: " + timeoutMillis));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> postedIds(ScriptedServer engine) {
        return engine.requests().stream()
                .filter(request -> request.line().startsWith("POST /stream"))
                .map(request -> request.header("request-id"))
                .toList();
    }

    /** Returns a script that sends a complete stream of two events. */
    private static Script completeStream() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.eventChunk(2, "b"));
            out.write(ScriptedServer.lastChunk());
        };
    }

    /** Returns a script that closes the connection inside the second event. */
    private static Script interruptedStream() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.chunk("id: 2\nda"));
            out.flush();
            connection.close();
        };
    }

    /** Returns a script that responds like a prefill engine. */
    private static Script prefillResponse() {
        return (request, connection, out) ->
                out.write(ScriptedServer.response(request, 200, "", "{\"kvHandle\":\"h1\",\"tokens\":9000}"));
    }

    /** Returns the first of the callers' requests that reached a server. */
    private static ScriptedServer.Request firstPost(ScriptedServer server) {
        return server.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .findFirst()
                .orElseThrow();
    }
}
