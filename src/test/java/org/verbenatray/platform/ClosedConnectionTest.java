package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Connections of callers that the instance closes because another instance serves the caller better. */
public final class ClosedConnectionTest {
    @Test
    public void aConnectionIsClosedAfterAnAnswerThatSaysSoThoughTheRequestCameBefore() throws Exception {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        Script held = (request, connection, out) -> {
            Latches.await(answerAllowed);
            out.write(ScriptedServer.okResponse(request, "whole"));
        };
        try (ScriptedServer server = ScriptedServer.start(held);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            relay.await(() -> server.requests().size() == 1);
            CompletableFuture<Void> drained = CompletableFuture.runAsync(relay.instance()::drain);
            relay.await(() -> !relay.instance().isReady());
            answerAllowed.countDown();
            InputStream in = new BufferedInputStream(caller.getInputStream());
            CallerReply reply = CallerReply.read(in);
            Assert.assertTrue(reply.whole() && reply.closesConnection(), reply.toString());
            Assert.assertEquals(in.read(), -1);
            drained.join();
        }
    }

    @Test
    public void aConnectionStaysOpenAfterAnAnswerThatDoesNotSayOtherwise() throws Exception {
        Script ok = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole"));
        try (ScriptedServer server = ScriptedServer.start(ok);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            InputStream in = new BufferedInputStream(caller.getInputStream());
            for (String path : new String[] {"/unsafe/x", "/none/x", "/safe/x"}) {
                RelayFixture.send(caller, RelayFixture.postRequest(path, "id" + path, "", "b"));
                CallerReply reply = CallerReply.read(in);
                Assert.assertTrue(reply.whole() && !reply.closesConnection(), path + " " + reply);
            }
        }
    }
}
