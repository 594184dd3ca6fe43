package org.verbenatray.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** The time limits of the configuration for callers: for the head of a request, inside a body, and between requests. */
public final class CallerTimeLimitsTest {
    private static final Script OK =
            (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "whole"));

    private static final String REQUEST = RelayFixture.postRequest("/unsafe/x", "id1", "", "0123456789");

    @Test
    public void aConnectionThatIsIdleBeyondTheLimitIsClosedWithoutAResponse() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = startWithLimits(server, 3_000, 100);
                Socket unused = relay.connect();
                Socket kept = relay.connect()) {
            RelayFixture.send(kept, REQUEST);
            Assert.assertTrue(RelayFixture.readResponse(kept.getInputStream()).endsWith("whole"));
            Assert.assertEquals(readToEnd(kept), "");
            Assert.assertEquals(readToEnd(unused), "");
        }
    }

    @Test
    public void aHeadThatIsNotWholeInTimeIsRefused() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = startWithLimits(server, 100, 60_000);
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, REQUEST.substring(0, 30));
            assertRefused(readToEnd(caller), server);
        }
    }

    @Test
    public void aSecondHeadThatIsNotWholeInTimeIsRefused() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = startWithLimits(server, 100, 60_000);
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, REQUEST);
            Assert.assertTrue(RelayFixture.readResponse(caller.getInputStream()).endsWith("whole"));
            RelayFixture.send(caller, REQUEST.substring(0, 30));
            String response = readToEnd(caller);
            Assert.assertTrue(response.startsWith("HTTP/1.1 408 "), response);
            Assert.assertEquals(server.requests().size(), 1);
        }
    }

    @Test
    public void aBodyThatStopsForLongerThanTheIdleLimitIsRefused() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = startWithLimits(server, 60_000, 100);
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, REQUEST.substring(0, REQUEST.length() - 1));
            assertRefused(readToEnd(caller), server);
            Assert.assertEquals(relay.instance().readState().join().openRequests(), 0);
        }
    }

    @Test
    public void aTooLargeRequestWhoseBodyStopsIsClosedAfterItsRefusal() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = startWithLimits(server, 60_000, 100);
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, REQUEST.replace("Content-Length: 10", "Content-Length: 100001"));
            String response = readToEnd(caller);
            Assert.assertTrue(response.startsWith("HTTP/1.1 413 "), response);
        }
    }

    @Test
    public void anOpenRequestHasNoLimitOfTheCaller() throws Exception {
        try (ScriptedServer server = ScriptedServer.start((request, connection, out) -> {});
                RelayFixture relay = startWithLimits(server, 100, 100);
                Socket caller = relay.connect()) {
            RelayFixture.send(caller, REQUEST);
            String response = RelayFixture.readResponse(caller.getInputStream());
            Assert.assertTrue(response.startsWith("HTTP/1.1 504 "), response);
        }
    }

    private static RelayFixture startWithLimits(ScriptedServer server, long headMillis, long idleMillis)
            throws Exception {
        FakeStore store = FakeStore.start();
        store.put(
                "keyed.op",
                "config",
                RelayFixture.configurationJson(1)
                        .replace("\"headerTimeoutMs\":3000", "\"headerTimeoutMs\":" + headMillis)
                        .replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":" + idleMillis));
        store.put("keyed.servers", "s1", ServerListing.plain("s1", server).entryJson("ready", 1));
        RelayFixture relay = RelayFixture.start(store);
        relay.await(relay.instance()::isReady);
        return relay;
    }

    private static void assertRefused(String response, ScriptedServer server) {
        Assert.assertTrue(response.startsWith("HTTP/1.1 408 "), response);
        Assert.assertEquals(server.requests().size(), 0);
    }

    /** Reads what arrives up to the end of the connection. */
    private static String readToEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}
