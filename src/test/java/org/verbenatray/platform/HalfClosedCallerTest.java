package org.verbenatray.platform;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Callers that close only the sending half of their connection after a whole request and wait for its answer. */
public final class HalfClosedCallerTest {
    @Test
    public void theAnswerOfAnUnsafeRequestThatWasSentIsStillDelivered() throws Exception {
        CountDownLatch halfClosed = new CountDownLatch(1);
        Script late = (request, connection, out) -> {
            Latches.await(halfClosed);
            out.write(ScriptedServer.okResponse(request, "whole"));
        };
        try (ScriptedServer server = ScriptedServer.start(late);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            relay.await(() -> server.requests().size() == 1);
            caller.shutdownOutput();
            relay.passIoRounds();
            halfClosed.countDown();
            String text = RelayFixture.readResponse(caller.getInputStream());
            Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("whole"), text);
            Assert.assertEquals(caller.getInputStream().read(), -1);
            relay.await(() -> relay.instance().readState().get().openRequests() == 0);
        }
    }

    @Test
    public void aSafeRequestIsStoppedAndRefusedAsPossiblyRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.getRequest("/safe/x", "id1"));
            relay.await(() -> server.requests().size() == 1);
            caller.shutdownOutput();
            relay.await(() -> server.closedByPeerCount() == 1);
            String text = RelayFixture.readResponse(caller.getInputStream());
            Assert.assertTrue(text.startsWith("HTTP/1.1 502"), text);
            Assert.assertEquals(caller.getInputStream().read(), -1);
        }
    }

    @Test
    public void aRequestThatIsNotSentYetIsAnsweredOrRefused() throws Exception {
        Script ok = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole"));
        try (ScriptedServer server = ScriptedServer.start(ok);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            for (int round = 0; round < 50; round++) {
                try (Socket caller = relay.connect()) {
                    RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id" + round, "", "b"));
                    caller.shutdownOutput();
                    int sentBefore = server.requests().size();
                    String text = RelayFixture.readResponse(caller.getInputStream());
                    boolean answered = text.startsWith("HTTP/1.1 200") && text.endsWith("whole");
                    boolean refused =
                            text.startsWith("HTTP/1.1 503") && server.requests().size() == sentBefore;
                    Assert.assertTrue(answered || refused, text);
                }
            }
        }
    }

    @Test
    public void aStreamThatHasBegunIsCutVisibly() throws Exception {
        Script open = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
        };
        try (ScriptedServer server = ScriptedServer.start(open);
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/stream/x", "id1", "Token-Count: 10,5\r\n", "hello"));
            Assert.assertEquals(caller.getInputStream().read(), 'H');
            caller.shutdownOutput();
            relay.await(() -> server.closedByPeerCount() == 1);
            Assert.assertTrue(RelayFixture.readResponse(caller.getInputStream()).endsWith("<closed>"));
        }
    }
}
