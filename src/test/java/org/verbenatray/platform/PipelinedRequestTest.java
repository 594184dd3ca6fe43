package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.relay.RequestEnd;

/** Requests that arrive on a connection before the response of the previous one is complete. */
public final class PipelinedRequestTest {
    /** The time in which a server must see its connection closed. */
    private static final int CLOSE_TIMEOUT_SECONDS = 5;

    private static final String STREAM_REQUEST =
            RelayFixture.postRequest("/stream/x", "id1", "Token-Count: 10,5\r\n", "hello");

    private static final String NEXT_REQUEST =
            RelayFixture.postRequest("/unsafe/next", "id2", "X-Own: own\r\n", "12345");

    @Test
    public void aRequestThatArrivesInPiecesDuringAResponseIsRunUnchanged() throws Exception {
        for (int firstBytes = 0; firstBytes < NEXT_REQUEST.length(); firstBytes += 16) {
            assertBothAnswered(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"), firstBytes);
        }
    }

    @Test
    public void aRequestThatArrivesInPiecesDuringAStreamIsRunUnchanged() throws Exception {
        assertBothAnswered(STREAM_REQUEST, 0);
        assertBothAnswered(STREAM_REQUEST, 40);
    }

    @Test
    public void aRequestBehindARefusedOneIsRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(PipelinedRequestTest::serve);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/none/x", "id1", "", "b") + NEXT_REQUEST);
            InputStream in = new BufferedInputStream(caller.getInputStream());
            Assert.assertTrue(RelayFixture.readResponse(in).startsWith("HTTP/1.1 404"));
            assertNextAnswered(server, RelayFixture.readResponse(in));
        }
    }

    /** The HTTP library reads over the body of a refused request by itself. */
    @Test
    public void aRequestBehindALongOneThatWasRefusedUnreadIsRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(PipelinedRequestTest::serve);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            String tooLong = RelayFixture.postRequest("/unsafe/x", "id1", "", "b".repeat(150_000));
            RelayFixture.send(caller, tooLong);
            InputStream in = new BufferedInputStream(caller.getInputStream());
            Assert.assertEquals(CallerReply.read(in).status(), 413);
            RelayFixture.send(caller, NEXT_REQUEST);
            assertNextAnswered(server, RelayFixture.readResponse(in));
        }
    }

    @Test
    public void aCallerThatLeavesAfterAPipelinedRequestIsNoticed() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            Socket caller = relay.connect();
            RelayFixture.send(caller, RelayFixture.getRequest("/safe/x", "id1"));
            relay.await(() -> server.requests().size() == 1);
            RelayFixture.send(caller, NEXT_REQUEST);
            relay.passIoRounds();
            caller.close();
            relay.await(() -> server.closedByPeerCount() == 1);
            Assert.assertEquals(relay.instance().readState().get().requestEnds().get(RequestEnd.CALLER_LEFT), 1L);
            Assert.assertEquals(server.requests().size(), 1);
        }
    }

    /** Sizes of the body behind the open request: one that is accepted, and one that is larger than that. */
    @DataProvider
    Object[][] bodySizes() {
        return new Object[][] {{90_000}, {200_000}, {2_000_000}};
    }

    @Test(dataProvider = "bodySizes")
    public void aCallerThatLeavesAfterALargePipelinedRequestIsNoticed(int bodySize) throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            Socket caller = relay.connect();
            RelayFixture.send(caller, RelayFixture.getRequest("/safe/x", "id1"));
            relay.await(() -> server.requests().size() == 1);
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id2", "", "b".repeat(bodySize)));
            relay.passIoRounds();
            caller.close();
            relay.await(() -> server.closedByPeerCount() == 1, CLOSE_TIMEOUT_SECONDS);
            relay.passIoRounds();
            Assert.assertEquals(server.requests().size(), 1);
        }
    }

    @Test
    public void aLargeRequestThatArrivesDuringAResponseIsRunUnchanged() throws Exception {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        Script script = (request, connection, out) -> {
            if (request.header("request-id").equals("id1")) {
                Latches.await(answerAllowed);
            }
            serve(request, connection, out);
        };
        String body = "0123456789".repeat(9_900);
        try (ScriptedServer server = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            relay.await(() -> caseCount(server, "id1") == 1);
            RelayFixture.send(
                    caller,
                    RelayFixture.postRequest("/unsafe/x", "id2", "", body) + NEXT_REQUEST.replace("id2", "id3"));
            relay.passIoRounds();
            answerAllowed.countDown();
            InputStream in = new BufferedInputStream(caller.getInputStream());
            for (int number = 1; number <= 3; number++) {
                String text = RelayFixture.readResponse(in);
                Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("whole"), number + " " + text);
            }
            Assert.assertEquals(server.requests().get(1).body(), body);
        }
    }

    /** Sends the next request in two pieces: one with the first request, one while that is being answered. */
    private static void assertBothAnswered(String firstRequest, int firstBytes) throws Exception {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        Script script = (request, connection, out) -> {
            if (request.header("request-id").equals("id1")) {
                Latches.await(answerAllowed);
            }
            serve(request, connection, out);
        };
        try (ScriptedServer server = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.plain("s1", server), ServerListing.engine("e1", "decode", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, firstRequest + NEXT_REQUEST.substring(0, firstBytes));
            relay.await(() -> caseCount(server, "id1") == 1);
            RelayFixture.send(caller, NEXT_REQUEST.substring(firstBytes));
            relay.passIoRounds();
            answerAllowed.countDown();
            InputStream in = new BufferedInputStream(caller.getInputStream());
            String first = RelayFixture.readResponse(in);
            Assert.assertTrue(first.startsWith("HTTP/1.1 200"), firstBytes + " " + first);
            assertNextAnswered(server, RelayFixture.readResponse(in));
        }
    }

    private static void assertNextAnswered(ScriptedServer server, String text) {
        Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("whole"), text);
        ScriptedServer.Request next = server.requests().stream()
                .filter(request -> request.header("request-id").equals("id2"))
                .findFirst()
                .orElseThrow();
        Assert.assertEquals(next.line(), "POST /unsafe/next HTTP/1.1");
        Assert.assertEquals(next.header("x-own"), "own");
        Assert.assertEquals(next.body(), "12345");
    }

    private static long caseCount(ScriptedServer server, String id) {
        return server.requests().stream()
                .filter(request -> request.header("request-id").equals(id))
                .count();
    }

    private static void serve(ScriptedServer.Request request, Socket connection, OutputStream out) throws IOException {
        if (request.line().startsWith("POST /stream/")) {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
        } else if (request.line().startsWith("POST ")) {
            out.write(ScriptedServer.okResponse(request, "whole"));
        } else {
            out.write(ScriptedServer.response(request, 200, "", "{}"));
        }
    }
}
