package org.verbenatray.platform;

import java.util.Map;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.FakeStore.Copy;
import org.verbenatray.platform.FakeStore.Fault;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/**
 * A store that comes back from an older copy, so that offsets are given out again. Instances read on behind their old
 * offset and never saw what had been written before it.
 */
public final class RestoredStoreTest {
    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    @Test
    public void routesWrittenAtAnOffsetThatWasReadBeforeComeIntoForce() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            Copy copy = relay.store().copy();
            relay.putConfiguration(2, routes(2, "/second/"));
            relay.putConfiguration(3, routes(3, "/third/"));
            awaitStatus(relay, "/third/x", 200);
            restore(relay, copy);
            relay.putConfiguration(3, routes(3, "/third/"));
            relay.putConfiguration(4, routes(4, "/fourth/"));
            awaitStatus(relay, "/fourth/x", 200);
        }
    }

    @Test
    public void routesInForceAreNotReplacedByOlderOnesOfTheCopy() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            Copy copy = relay.store().copy();
            relay.putConfiguration(5, routes(5, "/fifth/"));
            awaitStatus(relay, "/fifth/x", 200);
            restore(relay, copy);
            awaitListing(relay, server);
            Assert.assertEquals(status(relay, "/fifth/x"), 200);
        }
    }

    @Test
    public void serversThatTheCopyLacksAreKeptUntilTheyAreListedAgain() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady()) {
            Copy copy = relay.store().copy();
            relay.putReadyServer(ServerListing.plain("s1", server));
            awaitStatus(relay, "/safe/x", 200);
            restore(relay, copy);
            awaitListing(relay, server);
            Assert.assertEquals(status(relay, "/safe/x"), 200);
            relay.store()
                    .put(
                            "keyed.servers",
                            "s1",
                            ServerListing.plain("s1", server).entryJson("ready", 2));
            relay.store()
                    .put(
                            "keyed.servers",
                            "s2",
                            ServerListing.plain("s2", server).entryJson("draining", 1));
            relay.await(() -> relay.isLeaving("s2"));
            Assert.assertEquals(status(relay, "/safe/x"), 200);
        }
    }

    @Test
    public void aServerThatSaidItIsLeavingStaysSoWhenTheCopyCallsItReady() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            Copy copy = relay.store().copy();
            relay.store()
                    .put(
                            "keyed.servers",
                            "s1",
                            ServerListing.plain("s1", server).entryJson("draining", 2));
            relay.await(() -> relay.isLeaving("s1"));
            restore(relay, copy);
            awaitListing(relay, server);
            Assert.assertEquals(status(relay, "/safe/x"), 503);
        }
    }

    @Test
    public void theInstanceIsListedAgainWhenTheCopyLacksIt() throws Exception {
        try (RelayFixture relay = RelayFixture.startReady()) {
            relay.await(() -> relay.store().recordCount("keyed.instances") > 0);
            Copy beforeTheStart = new Copy(Map.of());
            restore(relay, beforeTheStart);
            relay.await(() -> relay.store().recordCount("keyed.instances") > 0);
        }
    }

    /** Two restorations in a row; the second loses what was written again after the first. */
    @Test
    public void routesComeIntoForceAfterTwoRestorations() throws Exception {
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server))) {
            Copy copy = relay.store().copy();
            for (int round = 1; round <= 2; round++) {
                long version = 10L * round;
                relay.putConfiguration(version, routes(version, "/lost" + round + "/"));
                awaitStatus(relay, "/lost" + round + "/x", 200);
                restore(relay, copy);
                relay.putConfiguration(version + 1, routes(version + 1, "/kept" + round + "/"));
                awaitStatus(relay, "/kept" + round + "/x", 200);
            }
        }
    }

    /** Restores a store from a copy while it is away for a moment. */
    private static void restore(RelayFixture relay, Copy copy) throws Exception {
        relay.store().setFault(Fault.BUSY);
        int calls = relay.store().callCount();
        relay.await(() -> relay.store().callCount() > calls);
        relay.store().restore(copy);
        relay.store().setFault(Fault.NONE);
    }

    /** Waits until the instance has read a record of the new epoch. */
    private static void awaitListing(RelayFixture relay, ScriptedServer server) throws Exception {
        relay.store()
                .put(
                        "keyed.servers",
                        "marker",
                        ServerListing.plain("marker", server).entryJson("draining", 1));
        relay.await(() -> relay.isLeaving("marker"));
    }

    private static String routes(long version, String prefix) {
        return RelayFixture.configurationJson(version).replace("/safe/", prefix);
    }

    private static void awaitStatus(RelayFixture relay, String path, int status) throws Exception {
        relay.await(() -> status(relay, path) == status);
    }

    private static int status(RelayFixture relay, String path) throws Exception {
        String response = relay.exchange(RelayFixture.getRequest(path, "id" + path.hashCode()));
        return Integer.parseInt(response.substring(9, 12));
    }
}
