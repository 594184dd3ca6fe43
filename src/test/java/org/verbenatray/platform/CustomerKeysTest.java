package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.List;
import java.util.stream.Stream;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/** Requests of deployments whose configuration lists customers: who is served, and what servers learn of the caller. */
public final class CustomerKeysTest {
    /** Headers of a long prompt, which a prefill engine processes for a decode engine. */
    private static final String LONG_PROMPT = "Token-Count: 9000,5\r\nPrompt-Prefix: ab:8000,cd:1000\r\n";

    private static final String KNOWN_KEY = "Key: k-acme-1\r\n";

    private static final String ACME = "{\"name\":\"acme\",\"apiKeys\":[\"k-acme-1\",\"k-acme-2\"]}";

    private static final String URGENT = "{\"name\":\"urgent\",\"apiKeys\":[\"k-urgent\"],\"priority\":0}";

    private static final Script ANSWER =
            (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    @Test
    public void aServerLearnsTheNameOfTheCustomerAndNeverTheKey() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWithCustomers(ACME, ServerListing.plain("s1", server))) {
            String forged = KNOWN_KEY + "Tenant: other\r\n";
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", forged, "b")));
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/safe/x", "id2", forged, "b")));
            server.requests().forEach(CustomerKeysTest::assertIdentified);
            Assert.assertEquals(server.requests().size(), 2);
        }
    }

    @Test
    public void bothHalvesOfASplitPromptNameTheCustomer() throws Exception {
        Script prefill = (request, connection, out) -> out.write(
                ScriptedServer.response(request, 200, "", "{\"kvHandle\":\"h1\",\"tokens\":9000,\"version\":1}"));
        try (ScriptedServer first = ScriptedServer.start(prefill);
                ScriptedServer second = ScriptedServer.start(stream());
                RelayFixture relay = startWithCustomers(
                        ACME,
                        ServerListing.engine("e1", "prefill", first),
                        ServerListing.engine("e2", "decode", second))) {
            assertStatus(
                    200, relay.exchange(RelayFixture.postRequest("/stream/x", "id1", LONG_PROMPT + KNOWN_KEY, "p")));
            List<Request> sent = posts(first, second);
            Assert.assertEquals(sent.size(), 2);
            sent.forEach(CustomerKeysTest::assertIdentified);
        }
    }

    @Test
    public void aRetryAtAnotherServerNamesTheCustomer() throws Exception {
        Script failing = (request, connection, out) -> out.write(ScriptedServer.response(request, 500, "", "no"));
        try (ScriptedServer first = ScriptedServer.start(failing);
                ScriptedServer second = ScriptedServer.start(failing);
                RelayFixture relay =
                        startWithCustomers(ACME, ServerListing.plain("s1", first), ServerListing.plain("s2", second))) {
            assertStatus(500, relay.exchange(RelayFixture.postRequest("/safe/x", "id1", KNOWN_KEY, "b")));
            List<Request> sent = posts(first, second);
            Assert.assertEquals(sent.size(), 2);
            sent.forEach(CustomerKeysTest::assertIdentified);
        }
    }

    @Test
    public void thePriorityOfTheCustomerGoesBeforeThatOfTheRoute() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start(stream());
                RelayFixture relay =
                        startWithCustomers(ACME + "," + URGENT, ServerListing.engine("e1", "decode", engine))) {
            String prompt = "Token-Count: 10,5\r\nPrompt-Prefix: ab:10\r\n";
            relay.exchange(RelayFixture.postRequest("/stream/x", "id1", prompt + KNOWN_KEY, "p"));
            relay.exchange(RelayFixture.postRequest("/stream/x", "id2", prompt + "Key: k-urgent\r\n", "p"));
            List<Integer> priorities = posts(engine).stream()
                    .map(request -> Integer.valueOf(request.header("request-priority")))
                    .toList();
            Assert.assertTrue(priorities.get(1) < priorities.get(0), priorities.toString());
        }
    }

    @Test
    public void aRequestWithoutAKnownKeyIsRefusedAndNotRun() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWithCustomers(ACME, ServerListing.plain("s1", server))) {
            assertStatus(401, relay.exchange(RelayFixture.postRequest("/safe/x", "id1", "", "b")));
            assertStatus(401, relay.exchange(RelayFixture.postRequest("/safe/x", "id2", "Key: k-none\r\n", "b")));
            Assert.assertEquals(server.requests().size(), 0);
        }
    }

    @Test
    public void aRouteThatIsOpenToAllNeedsNoKey() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWithCustomers(ACME, ServerListing.plain("s1", server))) {
            putInForce(
                    relay, 3, configuration(3, ACME).replace("\"kind\":\"safe\"", "\"kind\":\"safe\",\"public\":true"));
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/safe/x", "id1", "Tenant: acme\r\n", "b")));
            Request sent = server.requests().get(0);
            Assert.assertEquals(sent.header("tenant"), "", "nobody has proved to be this customer");
        }
    }

    @Test
    public void withoutCustomersTheHeadersOfCallersAreForwarded() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            String own = "Key: a\r\nTenant: b\r\n";
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/safe/x", "id1", own, "b")));
            Request sent = server.requests().get(0);
            Assert.assertEquals(sent.header("key") + sent.header("tenant"), "ab");
        }
    }

    @Test
    public void aRemovedKeyIsRefusedOnAKeptConnection() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWithCustomers(ACME, ServerListing.plain("s1", server));
                Socket caller = relay.connect()) {
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            RelayFixture.send(caller, RelayFixture.postRequest("/safe/x", "id1", KNOWN_KEY, "b"));
            assertStatus(200, RelayFixture.readResponse(in));
            putInForce(relay, 3, configuration(3, ACME.replace("\"k-acme-1\",", "")));
            RelayFixture.send(caller, RelayFixture.postRequest("/safe/x", "id2", KNOWN_KEY, "b"));
            assertStatus(401, RelayFixture.readResponse(in));
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/safe/x", "id3", "Key: k-acme-2\r\n", "b")));
        }
    }

    /** The caller may use a new key as soon as the store has it, a moment before the instance has read it. */
    @Test
    public void aKeyThatIsJustBeingAddedIsServed() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWithCustomers(ACME, ServerListing.plain("s1", server))) {
            relay.putConfiguration(3, configuration(3, ACME + "," + URGENT));
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/safe/x", "id1", "Key: k-urgent\r\n", "b")));
        }
    }

    @Test
    public void anUnknownKeyIsNotRefusedForGoodWhileTheStoreIsOutOfReach() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWithCustomers(ACME, ServerListing.plain("s1", server))) {
            relay.store().setFault(FakeStore.Fault.BUSY);
            String request = RelayFixture.postRequest("/safe/x", "id1", "Key: k-new\r\n", "b");
            RelayFixture.waitUntil(() -> relay.exchange(request).startsWith("HTTP/1.1 503"));
            assertStatus(200, relay.exchange(RelayFixture.postRequest("/safe/x", "id2", KNOWN_KEY, "b")));
            Assert.assertEquals(server.requests().size(), 1);
        }
    }

    private static RelayFixture startWithCustomers(String customers, ServerListing... servers) throws Exception {
        RelayFixture relay = RelayFixture.startReady(servers);
        putInForce(relay, 2, configuration(2, customers));
        return relay;
    }

    private static void putInForce(RelayFixture relay, long version, String configuration) throws Exception {
        relay.putConfiguration(version, configuration);
        relay.await(() -> relay.instance().readState().join().routesVersion() == version);
    }

    /** Returns a configuration with the given customers, as JSON. */
    static String configuration(long version, String customers) {
        String base = RelayFixture.configurationJson(version);
        return base.substring(0, base.length() - 1) + ",\"tenants\":[" + customers + "]}";
    }

    private static Script stream() {
        return (request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
        };
    }

    private static List<Request> posts(ScriptedServer... servers) {
        return Stream.of(servers)
                .flatMap(server -> server.requests().stream())
                .filter(request -> request.line().startsWith("POST"))
                .toList();
    }

    private static void assertIdentified(Request sent) {
        Assert.assertEquals(sent.header("tenant"), "acme", sent.line());
        Assert.assertEquals(sent.header("key"), "", sent.line());
    }

    private static void assertStatus(int status, String response) {
        Assert.assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    }
}
