package org.verbenatray.platform;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.EndlessAnswer.EndlessScript;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Answers without end to the requests of callers and to prefills. */
public final class EndlessRelayTest {
    /** Headers of a generation with a short prompt. */
    private static final String SHORT = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";

    /** Headers of a generation with a long prompt. */
    private static final String LONG = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    /** The bytes that a closed connection may have taken: the largest limit and the buffers of both sockets. */
    private static final long MAX_TAKEN_BYTES = 32L * 1024 * 1024;

    /** The bytes that the connection of a limit below one MiB may have taken, with the buffers of both sockets. */
    private static final long MAX_TAKEN_SMALL_BYTES = 14L * 1024 * 1024;

    @DataProvider
    public Object[] answers() {
        return EndlessAnswer.values();
    }

    @DataProvider
    public Object[] answersWithoutEvents() {
        return Arrays.stream(EndlessAnswer.values())
                .filter(answer -> answer != EndlessAnswer.TINY_EVENTS)
                .toArray();
    }

    @Test(dataProvider = "answers")
    public void aRequestThatMayRunOnceMayHaveRun(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        try (ScriptedServer server = ScriptedServer.start(reportsAndThen(script));
                RelayFixture relay = startWithLongTimeouts(ServerListing.plain("s1", server))) {
            String response = relay.exchange(withLongDeadline(RelayFixture.postRequest("/unsafe/x", "id1", "", "b")));
            Assert.assertTrue(response.startsWith("HTTP/1.1 502"), response);
            relay.await(() -> script.closedByPeer() == 1);
            Assert.assertEquals(script.started(), 1);
            Assert.assertTrue(script.writtenBytes() < MAX_TAKEN_BYTES, "taken: " + script.writtenBytes());
        }
    }

    @Test(dataProvider = "answers")
    public void aSafeRequestIsRetriedAndTheServerIsAvoided(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        Script good = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));
        try (ScriptedServer bad = ScriptedServer.start(reportsAndThen(script));
                ScriptedServer second = ScriptedServer.start(good);
                RelayFixture relay =
                        startWithLongTimeouts(ServerListing.plain("s1", bad), ServerListing.plain("s2", second))) {
            int rounds = 0;
            while (rounds < 8 || script.started() == 0) {
                String response = relay.exchange(withLongDeadline(RelayFixture.getRequest("/safe/x", "id" + rounds)));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("ok"), response);
                rounds++;
                Assert.assertTrue(rounds < 200, "the first server was never tried");
            }
            Assert.assertTrue(script.started() >= 1 && script.started() <= 4, "started: " + script.started());
            relay.await(() -> script.closedByPeer() == script.started());
        }
    }

    @Test(dataProvider = "answersWithoutEvents")
    public void aStreamWithoutAnEventMayHaveRun(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        try (ScriptedServer engine = ScriptedServer.start(reportsAndThen(script));
                RelayFixture relay = startWithLongTimeouts(ServerListing.engine("e1", "decode", engine))) {
            String response =
                    relay.exchange(withLongDeadline(RelayFixture.postRequest("/stream/x", "id1", SHORT, "p")));
            Assert.assertTrue(response.startsWith("HTTP/1.1 502"), response);
            relay.await(() -> script.closedByPeer() == 1);
            Assert.assertEquals(script.started(), 1);
        }
    }

    @Test
    public void anEventWithoutEndIsBoundedWellBelowABody() throws Exception {
        EndlessScript script = EndlessAnswer.EVENT.script();
        try (ScriptedServer engine = ScriptedServer.start(reportsAndThen(script));
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine))) {
            relay.exchange(RelayFixture.postRequest("/stream/x", "id1", SHORT, "p"));
            relay.await(() -> script.closedByPeer() == 1);
            Assert.assertTrue(script.writtenBytes() < MAX_TAKEN_SMALL_BYTES, "taken: " + script.writtenBytes());
        }
    }

    @Test
    public void aResumableStreamGoesOnAtAnotherEngine() throws Exception {
        EndlessScript script = EndlessAnswer.EVENT.script();
        try (ScriptedServer first = ScriptedServer.start(reportsAndThen(script));
                ScriptedServer second = ScriptedServer.start(completeStream());
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            for (int round = 0; round < 4; round++) {
                String response = relay.exchange(RelayFixture.postRequest("/resume/x", "id" + round, SHORT, "p"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
            }
            relay.await(() -> script.closedByPeer() == script.started());
        }
    }

    @Test(dataProvider = "answers")
    public void aPrefillWithoutEndIsReplacedByThePrefillOfTheDecodeEngine(EndlessAnswer answer) throws Exception {
        EndlessScript script = answer.script();
        try (ScriptedServer prefill = ScriptedServer.start(reportsAndThen(script));
                ScriptedServer decode = ScriptedServer.start(completeStream());
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "prefill", prefill), ServerListing.engine("e2", "decode", decode))) {
            String response = relay.exchange(RelayFixture.postRequest("/stream/x", "id1", LONG, "p"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 200") && response.endsWith("0\r\n\r\n"), response);
            relay.await(() -> script.started() > 0 && script.closedByPeer() == script.started());
            Assert.assertTrue(
                    script.writtenBytes() < script.started() * MAX_TAKEN_SMALL_BYTES,
                    "taken: " + script.writtenBytes());
        }
    }

    @Test
    public void tinyEventsWithoutEndStopWhenTheirCallerDoesNotRead() throws Exception {
        EndlessScript script = EndlessAnswer.TINY_EVENTS.script();
        try (ScriptedServer engine = ScriptedServer.start(reportsAndThen(script));
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/stream/x", "id1", SHORT, "p"));
            relay.await(() -> script.closedByPeer() == 1);
        }
    }

    @Test
    public void tinyEventsWithoutEndReachTheirCallerUntilItCloses() throws Exception {
        EndlessScript script = EndlessAnswer.TINY_EVENTS.script();
        try (ScriptedServer engine = ScriptedServer.start(reportsAndThen(script));
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine))) {
            try (Socket caller = relay.connect()) {
                RelayFixture.send(caller, RelayFixture.postRequest("/stream/x", "id1", SHORT, "p"));
                InputStream in = caller.getInputStream();
                String start = new String(in.readNBytes(100_000), StandardCharsets.ISO_8859_1);
                Assert.assertTrue(start.startsWith("HTTP/1.1 200"), start.substring(0, 200));
            }
            relay.await(() -> script.closedByPeer() == 1);
        }
    }

    /** Returns a script that serves the reports of an idle engine and every other request with a script. */
    private static Script reportsAndThen(Script other) {
        return (request, connection, out) -> {
            if (isReport(request)) {
                out.write(ScriptedServer.okResponse(request, "{}"));
            } else {
                other.serve(request, connection, out);
            }
        };
    }

    /** Returns whether a request asks an engine for its load or for the changes of its prefix cache. */
    static boolean isReport(ScriptedServer.Request request) {
        return request.line().startsWith("GET /report") || request.line().startsWith("GET /kv-events");
    }

    /**
     * Starts an instance whose routes leave enough time to read a response up to its bound on a busy machine, where
     * small chunks take seconds.
     */
    private static RelayFixture startWithLongTimeouts(ServerListing... servers) throws Exception {
        RelayFixture relay = RelayFixture.startReady(servers);
        relay.putConfiguration(
                2, RelayFixture.configurationJson(2).replace("\"timeoutMs\":4000", "\"timeoutMs\":60000"));
        relay.await(() -> relay.instance().readState().get().routesVersion() == 2);
        return relay;
    }

    private static String withLongDeadline(String request) {
        return request.replace("Deadline-Ms: 3000", "Deadline-Ms: 60000");
    }

    /** Returns a script that answers with a stream of one event. */
    static Script completeStream() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
        };
    }
}
