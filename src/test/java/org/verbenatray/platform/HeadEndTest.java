package org.verbenatray.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * Servers that stop inside the head of a response and close. Guards against callers that get a success with an empty or
 * short body, framed as whole.
 */
public final class HeadEndTest {
    private static final String LONG_PROMPT = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    /** What a server has written when it closes; the place of the request's id is marked. */
    private static final List<String> HEADS = List.of(
            "HTTP",
            "HTTP/1.1 20",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\nContent-Length: 5",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\nContent-Length: 5\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\nContent-Length: 5\r\n\r",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\nContent-Length: 0\r\n\r",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\n",
            "HTTP/1.1 204 No Content\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: mark\r\nContent-Type: text/event-stream\r\n");

    /** The paths of the kinds of requests, with each head. */
    @DataProvider
    public Object[][] heads() {
        List<Object[]> cases = new ArrayList<>();
        for (String path : List.of("/unsafe/x", "/safe/x", "/stream/x", "/resume/x")) {
            HEADS.forEach(head -> cases.add(new Object[] {path, head}));
        }
        return cases.toArray(Object[][]::new);
    }

    @DataProvider
    public Object[] allHeads() {
        return HEADS.toArray();
    }

    @Test(dataProvider = "heads")
    public void theCallerGetsNoSuccess(String path, String head) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(endingWith(head));
                RelayFixture relay = startReady(server)) {
            assertFailure(relay.exchange(RelayFixture.postRequest(path, "id1", "", "b")));
        }
    }

    @Test(dataProvider = "allHeads")
    public void theNextRequestOnAKeptConnectionGetsNoSuccess(String head) throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("request-id").equals("id1")) {
                out.write(ScriptedServer.okResponse(request, "whole"));
            } else {
                endingWith(head).serve(request, connection, out);
            }
        };
        try (ScriptedServer server = ScriptedServer.start(script);
                RelayFixture relay = startReady(server)) {
            String first = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            Assert.assertTrue(first.endsWith("whole"), first);
            assertFailure(relay.exchange(RelayFixture.postRequest("/unsafe/x", "id2", "", "b")));
        }
    }

    @Test(dataProvider = "allHeads")
    public void aRequestWhoseResponseHasNoBodyGetsNoSuccess(String head) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(endingWith(head));
                RelayFixture relay = startReady(server);
                Socket caller = relay.connect()) {
            RelayFixture.send(
                    caller,
                    RelayFixture.getRequest("/safe/x", "id1")
                            .replace("GET", "HEAD")
                            .replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
            assertFailure(new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1));
        }
    }

    @Test(dataProvider = "allHeads")
    public void aPrefillThatEndsSoIsNoSuccessEither(String head) throws Exception {
        try (ScriptedServer prefill = ScriptedServer.start(endingWith(head));
                ScriptedServer decode = ScriptedServer.start(endingWith(head));
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("p1", "prefill", prefill), ServerListing.engine("d1", "decode", decode))) {
            assertFailure(relay.exchange(RelayFixture.postRequest("/stream/x", "id1", LONG_PROMPT, "b")));
        }
    }

    /** An engine that stops in the head of the rest of a stream leaves the stream visibly broken off. */
    @Test(dataProvider = "allHeads")
    public void theRestOfAStreamIsNotTakenForItsEnd(String head) throws Exception {
        Script script = (request, connection, out) -> {
            if (request.header("last-event-id").isEmpty()) {
                out.write(ScriptedServer.streamHead(request));
                out.write(ScriptedServer.eventChunk(1, "a"));
                connection.close();
            } else {
                endingWith(head).serve(request, connection, out);
            }
        };
        try (ScriptedServer first = ScriptedServer.start(script);
                ScriptedServer second = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            String text = relay.exchange(RelayFixture.postRequest("/resume/x", "id1", "", "b"));
            Assert.assertFalse(text.contains("\r\n0\r\n\r\n"), text);
        }
    }

    @Test
    public void aRequestThroughAnotherInstanceGetsNoSuccess() throws Exception {
        try (PartitionableFleet fleet = PartitionableFleet.start(3)) {
            fleet.partition(0, true);
            fleet.awaitNotReady(0, 1);
            int forwarded = 0;
            for (String head : HEADS) {
                String id = "hop" + HEADS.indexOf(head);
                fleet.setGeneration(endingWith(head));
                assertFailure(RelayFixture.exchange(fleet.instance(0), PartitionableFleet.request("/stream/x", id)));
                forwarded += fleet.arrivals(id).size();
            }
            Assert.assertTrue(forwarded > 0, "no request came through another instance");
        }
    }

    private static RelayFixture startReady(ScriptedServer server) throws Exception {
        return RelayFixture.startReady(ServerListing.plain("s1", server), ServerListing.engine("e1", "decode", server));
    }

    /** Returns a script that writes the beginning of a response to a caller's request and closes the connection. */
    private static Script endingWith(String head) {
        return (request, connection, out) -> {
            if (isOfCaller(request)) {
                out.write(head.replace("%s", request.header("request-id")).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                connection.close();
            }
        };
    }

    private static boolean isOfCaller(Request request) {
        return !request.header("request-id").isEmpty();
    }

    private static void assertFailure(String text) throws IOException {
        Assert.assertTrue(text.matches("(?s)HTTP/1.1 50[234] .*"), text);
    }
}
