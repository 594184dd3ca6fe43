package org.verbenatray.platform;

import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.relay.RequestEnd;

/** Exceptions in the handling of a request; each request must still end, once and with a true answer. */
public final class FailedHandlingTest {
    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    @Test
    public void aRequestWhoseHeadersCannotBeReadIsRefusedAsNotRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(
                        FailingDialect.failingIn("readRequest", () -> true), ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            String request = RelayFixture.postRequest("/unsafe/x", "id1", "", "body");
            RelayFixture.send(caller, request.substring(0, request.length() - 2));
            relay.await(() -> relay.instance().readState().get().readRequests() == 0);
            RelayFixture.send(caller, request.substring(request.length() - 2));
            assertNotRun(relay, server, RelayFixture.readResponse(caller.getInputStream()));
        }
    }

    @Test
    public void aRequestThatCannotBeForwardedIsRefusedAsNotRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(
                        FailingDialect.failingIn("forward", () -> true), ServerListing.plain("s1", server))) {
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            assertNotRun(relay, server, text);
            Assert.assertTrue(text.contains("internal_error"), text);
        }
    }

    @Test
    public void aRequestThatMayHaveRunIsNeverRefusedAsNotRunAndNeverRunAgain() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(OK);
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(
                        FailingDialect.failingIn("parseHead", () -> true),
                        ServerListing.plain("s1", first),
                        ServerListing.plain("s2", second))) {
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            Assert.assertTrue(text.startsWith("HTTP/1.1 502") && text.contains("internal_error"), text);
            Assert.assertEquals(runs(first) + runs(second), 1);
            assertOneEnd(relay, RequestEnd.REFUSED);
        }
    }

    @Test
    public void aResponseThatCannotBeRelayedIsAnsweredWith502() throws Exception {
        Script impossible = (request, connection, out) ->
                out.write(ScriptedServer.response(request, 2_000, "Server-Stamp: mark\r\n", "x"));
        try (ScriptedServer server = ScriptedServer.start(impossible);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            Assert.assertTrue(text.startsWith("HTTP/1.1 502"), text);
            Assert.assertEquals(server.requests().size(), 1);
            assertOneEnd(relay, RequestEnd.REFUSED);
        }
    }

    @Test
    public void aRefusalThatCannotBeSentClosesTheConnection() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> connection.close());
                RelayFixture relay = RelayFixture.startReady(
                        FailingDialect.failingIn("addRequestId", () -> true), ServerListing.plain("s1", server))) {
            String text = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            Assert.assertEquals(text, "<closed>");
            assertOneEnd(relay, RequestEnd.CUT_BY_INSTANCE);
        }
    }

    @Test
    public void aStreamThatCannotBeContinuedIsCutByTheInstance() throws Exception {
        AtomicInteger heads = new AtomicInteger();
        Script oneEvent = (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.flush();
            connection.close();
        };
        try (ScriptedServer first = ScriptedServer.start(oneEvent);
                ScriptedServer second = ScriptedServer.start(oneEvent);
                RelayFixture relay = RelayFixture.startReady(
                        FailingDialect.failingIn("parseHead", () -> heads.incrementAndGet() > 1),
                        ServerListing.engine("e1", "decode", first),
                        ServerListing.engine("e2", "decode", second))) {
            String text =
                    relay.exchange(RelayFixture.postRequest("/resume/x", "id1", "Token-Count: 10,5\r\n", "hello"));
            Assert.assertTrue(text.contains("data: a") && text.endsWith("<closed>"), text);
            assertOneEnd(relay, RequestEnd.CUT_BY_INSTANCE);
        }
    }

    /** Returns the number of requests that a server was sent to run; the instance checks it after a lost run. */
    private static long runs(ScriptedServer server) {
        return server.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }

    private static void assertNotRun(RelayFixture relay, ScriptedServer server, String text) throws Exception {
        Assert.assertTrue(text.startsWith("HTTP/1.1 503") && text.contains("Retry-After"), text);
        Assert.assertEquals(server.requests().size(), 0);
        assertOneEnd(relay, RequestEnd.REFUSED);
    }

    private static void assertOneEnd(RelayFixture relay, RequestEnd end) throws Exception {
        relay.await(() -> relay.instance().readState().get().openRequests() == 0);
        Assert.assertEquals(relay.instance().readState().get().requestEnds(), Map.of(end, 1L));
    }
}
