package org.verbenatray.platform;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Requests whose body cannot be read to its end. */
public final class UnreadableBodyTest {
    private static final String CHUNKED_HEAD = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id1\r\n"
            + "Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The number of chunks that a caller writes after it was refused. */
    private static final int LATE_CHUNKS = 5;

    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    @Test
    public void aChunkedBodyThatEndsEarlyIsNotRunAndItsConnectionIsClosed() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, CHUNKED_HEAD + "4\r\nbody\r\n");
            caller.shutdownOutput();
            Assert.assertEquals(CallerReply.read(caller.getInputStream()).status(), 0);
            Assert.assertEquals(server.requests().size(), 0);
            Assert.assertEquals(relay.instance().readState().get().readRequests(), 0);
        }
    }

    @Test
    public void aChunkedBodyBeyondTheLimitIsRefused() throws Exception {
        String chunk = new String(ScriptedServer.chunk("x".repeat(30_000)), StandardCharsets.ISO_8859_1);
        assertRefused(CHUNKED_HEAD + chunk.repeat(5) + "0\r\n\r\n", 413);
    }

    /**
     * The connection was closed under the caller, so that the reset discarded the refusal before the caller read it.
     */
    @Test
    public void aCallerThatWritesOnAfterItsBodyWasRefusedStillReceivesTheRefusal() throws Exception {
        String chunk = new String(ScriptedServer.chunk("x".repeat(30_000)), StandardCharsets.ISO_8859_1);
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, CHUNKED_HEAD + chunk.repeat(4));
            relay.await(() -> caller.getInputStream().available() > 0);
            relay.passIoRounds();
            for (int number = 0; number < LATE_CHUNKS; number++) {
                RelayFixture.send(caller, chunk);
                relay.passIoRounds();
            }
            caller.shutdownOutput();
            CallerReply reply = CallerReply.read(caller.getInputStream());
            Assert.assertEquals(reply.status(), 413);
            Assert.assertTrue(reply.whole());
            Assert.assertEquals(server.requests().size(), 0);
        }
    }

    @Test
    public void aBodyThatEndsEarlyIsRefused() throws Exception {
        assertRefused(RelayFixture.postRequest("/unsafe/x", "id1", "", "body").replace("body", "bo"), 400);
    }

    private static void assertRefused(String request, int status) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, request);
            caller.shutdownOutput();
            CallerReply reply = CallerReply.read(caller.getInputStream());
            Assert.assertEquals(reply.status(), status);
            Assert.assertTrue(reply.whole());
            Assert.assertEquals(server.requests().size(), 0);
            Assert.assertEquals(relay.instance().readState().get().readRequests(), 0);
        }
    }
}
