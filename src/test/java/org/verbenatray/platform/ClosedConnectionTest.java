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

    /** Without a mark of its end, a stream that was cut after a whole event looked complete. */
    @Test
    public void aStreamWhoseConnectionIsClosedAfterItTellsACutFromItsEnd() throws Exception {
        Script cut = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.flush();
            connection.close();
        };
        Assert.assertFalse(streamOnClosedConnection(cut).whole());
        Script whole = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
        };
        CallerReply reply = streamOnClosedConnection(whole);
        Assert.assertTrue(reply.whole() && reply.closesConnection(), reply.toString());
        Assert.assertEquals(reply.body(), "id: 1\ndata: a\n\n");
    }

    /** Returns the response to a request for a stream whose caller closes the connection after it. */
    private static CallerReply streamOnClosedConnection(Script generation) throws Exception {
        Script script = (request, connection, out) -> {
            if (request.line().startsWith("GET")) {
                out.write(ScriptedServer.response(request, 200, "", "{}"));
            } else {
                generation.serve(request, connection, out);
            }
        };
        try (ScriptedServer engine = ScriptedServer.start(script);
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine));
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, RelayFixture.postRequest("/stream/x", "id1", "Connection: close\r\n", "body"));
            InputStream in = new BufferedInputStream(caller.getInputStream());
            CallerReply reply = CallerReply.read(in);
            Assert.assertEquals(reply.headers().get("transfer-encoding"), "chunked");
            return reply;
        }
    }
}
