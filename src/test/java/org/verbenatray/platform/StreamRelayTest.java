package org.verbenatray.platform;

import java.util.stream.Stream;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.MachineFixture.Listed;
import org.verbenatray.platform.ScriptedServer.Script;

/** Streams that engines answer, break off or hand over. */
public final class StreamRelayTest {
    /** The headers of a short generation. */
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    /** The headers of a long generation. */
    private static final String LONG = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    @Test
    public void aWholeStreamIsPassedOn() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start(whole());
                MachineFixture machine = MachineFixture.ready(Listed.engine("e1", "decode", engine))) {
            String answer = machine.exchange(MachineFixture.post("/stream/x", "id1", SHORT, "p"));
            Assert.assertTrue(answer.contains("id: 1\ndata: a") && answer.contains("id: 2\ndata: b"), answer);
            Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            Assert.assertTrue(answer.contains("Server-Stamp: mark"), answer);
        }
    }

    @Test
    public void aBrokenStreamThatMayNotBeResumedBreaksVisiblyAndRunsOnce() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(brokenInsideAnEvent());
                ScriptedServer second = ScriptedServer.start(brokenInsideAnEvent());
                MachineFixture machine = MachineFixture.ready(
                        Listed.engine("e1", "decode", first), Listed.engine("e2", "decode", second))) {
            String answer = machine.exchange(MachineFixture.post("/stream/x", "id1", SHORT, "p"));
            Assert.assertTrue(answer.contains("id: 1\ndata: a"), answer);
            Assert.assertFalse(answer.contains("id: 2"), "half an event must not be passed on: " + answer);
            Assert.assertTrue(answer.endsWith("<closed>"), answer);
            Assert.assertEquals(
                    Stream.concat(first.requests().stream(), second.requests().stream())
                            .filter(request -> request.line().startsWith("POST"))
                            .count(),
                    1);
        }
    }

    @Test
    public void aBrokenStreamThatMayBeResumedGoesOnAfterTheLastWholeEvent() throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("last-event-id").isEmpty()) {
                brokenInsideAnEvent().serve(request, connection, out);
                return;
            }
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.event(2, "b"));
            out.write(ScriptedServer.lastChunk());
        };
        try (ScriptedServer first = ScriptedServer.start(script);
                ScriptedServer second = ScriptedServer.start(script);
                MachineFixture machine = MachineFixture.ready(
                        Listed.engine("e1", "decode", first), Listed.engine("e2", "decode", second))) {
            String answer = machine.exchange(MachineFixture.post("/resume/x", "id1", SHORT, "p"));
            Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            Assert.assertEquals(answer.split("id: 1\n", -1).length, 2, answer);
            Assert.assertEquals(answer.split("id: 2\n", -1).length, 2, answer);
            Assert.assertEquals(
                    Stream.concat(first.requests().stream(), second.requests().stream())
                            .filter(request -> request.line().startsWith("POST"))
                            .map(request -> request.header("last-event-id"))
                            .sorted()
                            .toList(),
                    java.util.List.of("", "1"));
        }
    }

    @Test
    public void aLongPromptIsProcessedByAPrefillEngineAndHandedOver() throws Exception {
        try (ScriptedServer prefill = ScriptedServer.start(prefills());
                ScriptedServer decode = ScriptedServer.start(whole());
                MachineFixture machine = MachineFixture.ready(
                        Listed.engine("e1", "prefill", prefill), Listed.engine("e2", "decode", decode))) {
            String answer = machine.exchange(MachineFixture.post("/stream/x", "id1", LONG, "p"));
            Assert.assertTrue(answer.endsWith("0\r\n\r\n"), answer);
            ScriptedServer.Request first = posts(prefill);
            Assert.assertEquals(first.header("serving-stage"), "prefill");
            ScriptedServer.Request then = posts(decode);
            Assert.assertEquals(then.header("kv-source"), prefill.address() + "/h1");
            Assert.assertEquals(then.header("serving-stage"), "");
        }
    }

    @Test
    public void aPromptThatWasProcessedElsewhereGoesAheadOfThoseThatWereNot() throws Exception {
        try (ScriptedServer prefill = ScriptedServer.start(prefills());
                ScriptedServer decode = ScriptedServer.start(whole());
                MachineFixture machine = MachineFixture.ready(
                        Listed.engine("e1", "prefill", prefill), Listed.engine("e2", "decode", decode))) {
            machine.exchange(MachineFixture.post("/stream/x", "id1", LONG, "p"));
            machine.exchange(MachineFixture.post("/stream/x", "id2", SHORT, "p"));
            Assert.assertEquals(
                    decode.requests().stream()
                            .filter(request -> request.line().startsWith("POST"))
                            .map(request -> request.header("request-priority"))
                            .toList(),
                    java.util.List.of("0", "2"));
        }
    }

    @Test
    public void theHandleOfAPromptThatNoEngineTakesIsFreed() throws Exception {
        Script refuses =
                (request, connection, out) -> out.write(ScriptedServer.answer(request, 503, "Not-Run: 1\r\n", ""));
        try (ScriptedServer prefill = ScriptedServer.start(prefills());
                ScriptedServer decode = ScriptedServer.start(refuses);
                MachineFixture machine = MachineFixture.ready(
                        Listed.engine("e1", "prefill", prefill), Listed.engine("e2", "decode", decode))) {
            String answer = machine.exchange(MachineFixture.post("/stream/x", "id1", LONG, "p"));
            Assert.assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            machine.await(() -> prefill.requests().stream()
                    .anyMatch(request -> request.line().startsWith("DELETE /kv-handle/h1")));
        }
    }

    /** Returns a script of two events. */
    private static Script whole() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.event(1, "a"));
            out.write(ScriptedServer.event(2, "b"));
            out.write(ScriptedServer.lastChunk());
        };
    }

    /** Returns a script that breaks off inside its second event. */
    private static Script brokenInsideAnEvent() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.event(1, "a"));
            out.write(ScriptedServer.chunk("id: 2\nda"));
            out.flush();
            connection.close();
        };
    }

    /** Returns a script of a prefill engine. */
    private static Script prefills() {
        return (request, connection, out) ->
                out.write(ScriptedServer.answer(request, 200, "", "{\"kvHandle\":\"h1\",\"tokens\":9000}"));
    }

    /** Returns the first request of a caller that reached a server. */
    private static ScriptedServer.Request posts(ScriptedServer server) {
        return server.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .findFirst()
                .orElseThrow();
    }
}
