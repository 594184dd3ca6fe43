package org.verbenatray.platform;

import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.FakeStore.Fault;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** Changes of the server list and of the routes in the store, with and without faults of the store. */
public final class MembershipTest {
    /** Responds to every request with status 200. */
    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    @Test
    public void aDrainingServerGetsNoMoreRequests() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(OK);
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay =
                        RelayFixture.startReady(ServerListing.plain("s1", first), ServerListing.plain("s2", second))) {
            relay.store()
                    .put("keyed.servers", "s1", ServerListing.plain("s1", first).entryJson("draining", 2));
            relay.await(() -> relay.isLeaving("s1"));
            int before = first.requests().size();
            for (int round = 0; round < 8; round++) {
                relay.exchange(RelayFixture.getRequest("/safe/x", "id" + round));
            }
            Assert.assertEquals(first.requests().size(), before);
        }
    }

    @Test
    public void aLateCopyOfAnOldEntryDoesNotReactivateADrainingServer() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            relay.store()
                    .put(
                            "keyed.servers",
                            "s1",
                            ServerListing.plain("s1", server).entryJson("draining", 5));
            relay.await(() -> relay.isLeaving("s1"));
            relay.store()
                    .put(
                            "keyed.servers",
                            "s1",
                            ServerListing.plain("s1", server).entryJson("ready", 4));
            relay.store()
                    .put(
                            "keyed.servers",
                            "s1",
                            ServerListing.plain("s1", server).entryJson("ready", 6));
            String response = relay.exchange(RelayFixture.getRequest("/safe/x", "id1"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
        }
    }

    @Test
    public void entriesOfOtherWritersAreIgnored() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            relay.store().put("keyed.servers", "x1", "{\"service\":\"plain\",\"state\":\"ready\"}");
            relay.store().put("keyed.servers", "x2", "\u0000\u0001 no text");
            relay.store()
                    .put(
                            "keyed.servers",
                            "x3",
                            ServerListing.plain("x3", server).entryJson("unknown", 1));
            for (int round = 0; round < 4; round++) {
                String response = relay.exchange(RelayFixture.getRequest("/safe/x", "id" + round));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            Assert.assertTrue(server.requests().stream()
                    .allMatch(request -> request.header("expect-instance").equals("s1")));
        }
    }

    @Test
    public void anOlderVersionOfTheRoutesIsNeverApplied() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            String renamed = RelayFixture.configurationJson(7).replace("/safe/", "/fresh/");
            relay.putConfiguration(7, renamed);
            relay.await(() ->
                    relay.exchange(RelayFixture.getRequest("/fresh/x", "id1")).startsWith("HTTP/1.1 200"));
            relay.putConfiguration(3, RelayFixture.configurationJson(3));
            relay.store().compact("keyed.op");
            Assert.assertTrue(
                    relay.exchange(RelayFixture.getRequest("/safe/x", "id2")).startsWith("HTTP/1.1 404"));
            relay.putConfiguration(9, RelayFixture.configurationJson(9));
            relay.await(() ->
                    relay.exchange(RelayFixture.getRequest("/safe/x", "id3")).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void routesAndServersAreKeptDuringAStoreOutageAndUpdatedAfterwards() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            for (Fault fault : new Fault[] {Fault.BUSY, Fault.RESET, Fault.NO_RESPONSE}) {
                relay.store().setFault(fault);
                int calls = relay.store().callCount();
                relay.await(() -> relay.store().callCount() > calls + 2);
                String response = relay.exchange(RelayFixture.getRequest("/safe/x", "id-" + fault));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            relay.store().setFault(Fault.NONE);
            relay.putConfiguration(5, RelayFixture.configurationJson(5).replace("/safe/", "/fresh/"));
            relay.await(() ->
                    relay.exchange(RelayFixture.getRequest("/fresh/x", "id5")).startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void aServerWhoseDeletionWasCompactedAwayIsRemoved() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(OK);
                ScriptedServer second = ScriptedServer.start(OK);
                RelayFixture relay =
                        RelayFixture.startReady(ServerListing.plain("s1", first), ServerListing.plain("s2", second))) {
            relay.store().put("keyed.servers", "s1", null);
            relay.store().compact("keyed.servers");
            relay.await(() -> relay.instance().readState().join().backends().size() == 1);
        }
    }
}
