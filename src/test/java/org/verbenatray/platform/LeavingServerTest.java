package org.verbenatray.platform;

import java.util.ArrayList;
import java.util.List;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.platform.FakeStore.Fault;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * Servers that say in their responses that they are leaving. An instance that could not read the list went on sending
 * requests to them until they ended, which lost the requests at them.
 */
public final class LeavingServerTest {
    private static final String LEAVING = "Server-Leaving: 1\r\n";

    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    private static final int REQUESTS = 12;

    private static final int INSTANCES = 3;

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {"success", 200, "Server-Stamp: mark\r\n"},
            {"error", 500, "Server-Stamp: mark\r\n"},
            {"refusal", 503, "Not-Run: 1\r\n"},
        };
    }

    @Test(dataProvider = "responses")
    public void aServerGetsNoRequestAfterItsFirstResponseThatSaysSo(String name, int status, String headers)
            throws Exception {
        Script leaving = (request, connection, out) ->
                out.write(ScriptedServer.response(request, status, headers + LEAVING, "bye"));
        try (ScriptedServer first = ScriptedServer.start(leaving);
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay =
                        RelayFixture.startReady(ServerListing.plain("s1", first), ServerListing.plain("s2", second))) {
            relay.store().setFault(Fault.NO_RESPONSE);
            for (int number = 0; number < REQUESTS; number++) {
                relay.exchange(RelayFixture.postRequest("/unsafe/x", name + number, "", "b"));
            }
            Assert.assertEquals(first.requests().size(), 1);
            Assert.assertTrue(second.requests().size() >= REQUESTS - 1);
        }
    }

    @Test
    public void anEngineThatSaysSoWhenItIsPolledGetsNoRequest() throws Exception {
        Script leaving = (request, connection, out) ->
                out.write(ScriptedServer.response(request, 200, LEAVING, "{\"running\":0,\"waiting\":0}"));
        try (ScriptedServer first = ScriptedServer.start(leaving);
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(
                        ServerListing.engine("e1", "decode", first), ServerListing.engine("e2", "decode", second))) {
            relay.await(() -> relay.isLeaving("e1"));
            for (int number = 0; number < REQUESTS; number++) {
                relay.exchange(RelayFixture.postRequest("/resume/x", "id" + number, "", "b"));
            }
            Assert.assertEquals(
                    first.requests().stream()
                            .filter(LeavingServerTest::isFromCaller)
                            .count(),
                    0);
        }
    }

    /** An instance that had no response of the server went on sending to it until its own first one. */
    @Test
    public void otherInstancesAreToldOfAServerThatSaysItIsLeaving() throws Exception {
        Script leaving = (request, connection, out) ->
                out.write(ScriptedServer.response(request, 200, "Server-Stamp: mark\r\n" + LEAVING, "bye"));
        List<RelayInstance> instances = new ArrayList<>();
        try (FakeStore store = FakeStore.startOnPorts(INSTANCES);
                ScriptedServer server = ScriptedServer.start(leaving)) {
            ServerListing listing = ServerListing.plain("s1", server);
            store.put("keyed.op", "config", RelayFixture.configurationJson(1));
            store.put("keyed.servers", listing.id(), listing.entryJson("ready", 1));
            for (int number = 0; number < INSTANCES; number++) {
                instances.add(RelayFixture.startInstance(store.address(number), "m" + number));
            }
            RelayFixture.waitUntilConnected(instances);
            store.setFault(Fault.NO_RESPONSE);
            RelayFixture.exchange(instances.get(0), RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            for (RelayInstance instance : instances) {
                RelayFixture.waitUntil(() -> RelayFixture.isLeaving(instance, "s1"));
            }
            Assert.assertEquals(server.requests().size(), 1);
        } finally {
            instances.forEach(RelayInstance::close);
        }
    }

    /** Its entry is written by another way, and may arrive after the response. */
    @Test
    public void aReadyEntryOfTheSameStartDoesNotBringTheServerBack() throws Exception {
        Script leaving = (request, connection, out) ->
                out.write(ScriptedServer.response(request, 200, "Server-Stamp: mark\r\n" + LEAVING, "bye"));
        try (ScriptedServer server = ScriptedServer.start(leaving);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            relay.exchange(RelayFixture.getRequest("/safe/x", "id1"));
            ServerListing changed = ServerListing.plain("s1", server).withVersion("v2");
            relay.store().put("keyed.servers", "s1", changed.entryJson("ready", 2));
            relay.store()
                    .put(
                            "keyed.servers",
                            "marker",
                            ServerListing.plain("marker", server).entryJson("draining", 1));
            relay.await(() -> relay.isLeaving("marker"));
            String response = relay.exchange(RelayFixture.getRequest("/safe/x", "id2"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
        }
    }

    @Test
    public void anotherStartOfTheServerIsUsedAgain() throws Exception {
        Script leaving = (request, connection, out) ->
                out.write(ScriptedServer.response(request, 200, "Server-Stamp: mark\r\n" + LEAVING, "bye"));
        try (ScriptedServer server = ScriptedServer.start(leaving);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            relay.exchange(RelayFixture.getRequest("/safe/x", "id1"));
            server.setScript(OK);
            relay.putReadyServer(new ServerListing("s1", "plain", server.address(), "", 2));
            relay.await(() ->
                    relay.exchange(RelayFixture.getRequest("/safe/x", "id2")).startsWith("HTTP/1.1 200"));
        }
    }

    private static boolean isFromCaller(Request request) {
        return request.line().contains("/resume/");
    }
}
