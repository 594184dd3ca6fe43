package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * What an instance that stops does with requests that need longer than the rest of its grace. The requests of these
 * tests give 3 s for their answer, and the grace is 3 s.
 */
public final class StoppingInstanceTest {
    private static final int GRACE_SECONDS = 3;

    private static final Script SILENT = (request, connection, out) -> {};

    /** Guards against late requests that are sent to a server and cut when the process ends. */
    @Test
    public void aRequestThatMayNeedLongerThanTheGraceIsNotSent() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(SILENT);
                RelayFixture relay = startReady(ServerListing.plain("s1", server));
                Socket open = relay.connect()) {
            RelayFixture.send(open, RelayFixture.postRequest("/unsafe/x", "before", "", "b"));
            relay.await(() -> server.requests().size() == 1);
            CompletableFuture<Void> drained = drain(relay);
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "late", "", "b"));
            assertRefused(text);
            Assert.assertEquals(server.requests().size(), 1);
            drained.join();
        }
    }

    /** Guards against refusing all requests from the beginning of a stop on, as callers still arrive. */
    @Test
    public void aRequestLikeThoseThatEndSoonIsServed() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole")));
                RelayFixture relay = startReady(ServerListing.plain("s1", server))) {
            relay.exchange(RelayFixture.postRequest("/unsafe/x", "before", "", "b"));
            CompletableFuture<Void> drained = drain(relay);
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "late", "", "b"));
            Assert.assertTrue(text.startsWith("HTTP/1.1 200") && text.endsWith("whole"), text);
            drained.join();
        }
    }

    /** Guards against a connection that just closes at the end of the process, with its request at a server. */
    @Test
    public void aRequestThatIsOpenShortlyBeforeTheEndMayHaveRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(SILENT);
                RelayFixture relay = startReady(ServerListing.plain("s1", server));
                Socket open = relay.connect()) {
            RelayFixture.send(open, RelayFixture.postRequest("/unsafe/x", "before", "", "b"));
            relay.await(() -> server.requests().size() == 1);
            endProcess(relay);
            String text = RelayFixture.readResponse(new BufferedInputStream(open.getInputStream()));
            Assert.assertTrue(text.startsWith("HTTP/1.1 502") && text.endsWith("instance_stopping\n"), text);
            Assert.assertTrue(text.contains("Connection: close"), text);
        }
    }

    /** Guards against a stream that looks complete when its instance ends. */
    @Test
    public void aStreamThatIsOpenShortlyBeforeTheEndIsBrokenOff() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start((request, connection, out) -> {
                    out.write(ScriptedServer.streamHead(request));
                    out.write(ScriptedServer.eventChunk(1, "a"));
                });
                RelayFixture relay = startReady(ServerListing.engine("e1", "decode", engine));
                Socket open = relay.connect()) {
            RelayFixture.send(open, RelayFixture.postRequest("/stream/x", "before", "", "b"));
            BufferedInputStream in = new BufferedInputStream(open.getInputStream());
            relay.await(() -> in.available() > 0);
            endProcess(relay);
            String text = RelayFixture.readResponse(in);
            Assert.assertTrue(text.contains("data: a") && text.endsWith("<closed>"), text);
            Assert.assertFalse(text.contains("\r\n0\r\n"), text);
        }
    }

    /** Guards against a retry that is sent to a second server and cut there. */
    @Test
    public void aRetryThatMayNeedLongerThanTheGraceIsNotSent() throws Exception {
        CountDownLatch stopping = new CountDownLatch(1);
        Script broken = (request, connection, out) -> {
            Latches.await(stopping);
            connection.close();
        };
        try (ScriptedServer first = ScriptedServer.start(broken);
                ScriptedServer second = ScriptedServer.start(broken);
                RelayFixture relay = startReady(ServerListing.plain("s1", first), ServerListing.plain("s2", second));
                Socket open = relay.connect()) {
            RelayFixture.send(open, RelayFixture.getRequest("/safe/x", "before"));
            relay.await(() -> first.requests().size() + second.requests().size() == 1);
            CompletableFuture<Void> drained = drain(relay);
            stopping.countDown();
            String text = RelayFixture.readResponse(new BufferedInputStream(open.getInputStream()));
            Assert.assertTrue(text.startsWith("HTTP/1.1 502"), text);
            Assert.assertEquals(sendings(first, "before") + sendings(second, "before"), 1);
            drained.join();
        }
    }

    /** Guards against a prefilled prompt that goes on to a decode engine and is cut there. */
    @Test
    public void thePromptThatWasPrefilledLateIsNotSentOn() throws Exception {
        CountDownLatch stopping = new CountDownLatch(1);
        try (ScriptedServer prefill = ScriptedServer.start((request, connection, out) -> {
                    if (request.header("request-id").equals("before")) {
                        Latches.await(stopping);
                        out.write(ScriptedServer.response(request, 200, "", "{\"kvHandle\":\"h1\",\"tokens\":9000}"));
                    }
                });
                ScriptedServer decode = ScriptedServer.start(SILENT);
                RelayFixture relay = startReady(
                        ServerListing.engine("p1", "prefill", prefill), ServerListing.engine("d1", "decode", decode));
                Socket open = relay.connect()) {
            String prompt = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";
            RelayFixture.send(open, RelayFixture.postRequest("/stream/x", "before", prompt, "b"));
            relay.await(() -> isForwarded(prefill, "before"));
            CompletableFuture<Void> drained = drain(relay);
            stopping.countDown();
            String text = RelayFixture.readResponse(new BufferedInputStream(open.getInputStream()));
            assertRefused(text);
            Assert.assertFalse(isForwarded(decode, "before"));
            drained.join();
        }
    }

    private static boolean isForwarded(ScriptedServer server, String id) {
        return sendings(server, id) > 0;
    }

    /** Returns how often a request was sent to a server. */
    private static long sendings(ScriptedServer server, String id) {
        return server.requests().stream()
                .filter(request -> request.header("request-id").equals(id))
                .count();
    }

    private static RelayFixture startReady(ServerListing... servers) throws Exception {
        return RelayFixture.startReadyWithGrace(GRACE_SECONDS, servers);
    }

    /** Begins to stop an instance and returns when it is not ready any more. */
    private static CompletableFuture<Void> drain(RelayFixture relay) throws Exception {
        CompletableFuture<Void> drained = CompletableFuture.runAsync(relay.instance()::drain);
        relay.await(() -> !relay.instance().isReady());
        return drained;
    }

    /** Stops an instance as at the end of its process. */
    private static void endProcess(RelayFixture relay) {
        relay.instance().drain();
        relay.instance().close();
    }

    private static void assertRefused(String text) {
        Assert.assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("Retry-After"), text);
        Assert.assertTrue(text.contains("Connection: close"), text);
    }
}
