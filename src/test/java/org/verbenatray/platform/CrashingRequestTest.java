package org.verbenatray.platform;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.instance.RelayInstance;
import org.verbenatray.instance.RelayInstanceState.BackendState;
import org.verbenatray.platform.FakeStore.Fault;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;

/** A request that ends every server that runs it and is sent again and again, at any instance. */
public final class CrashingRequestTest {
    private static final int SERVERS = 8;

    private FakeStore store;
    private List<ScriptedServer> servers;
    private List<RelayInstance> instances;
    private int requestNumber;

    @BeforeMethod
    public void startServers() throws Exception {
        store = FakeStore.startOnPorts(3);
        servers = new ArrayList<>();
        instances = new ArrayList<>();
        requestNumber = 0;
        for (int number = 0; number < SERVERS; number++) {
            servers.add(ScriptedServer.start((request, connection, out) -> {}));
        }
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
        list(SERVERS);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        instances.forEach(RelayInstance::close);
        for (ScriptedServer server : servers) {
            server.close();
        }
        store.close();
    }

    @Test
    public void afterThreeCrashesTheRequestIsRejectedAndReachesNoServer() throws Exception {
        crashOnArrival();
        startInstances(1);
        sendUntilRejected(0, "/unsafe/x");
        Assert.assertEquals(serversReached(), 3);
        String other = send(0, "/unsafe/x", "fine");
        Assert.assertFalse(other.contains("crashes_servers"), other);
    }

    /** A request that came again from another address counted as another request, with three servers to end. */
    @Test
    public void aRequestThatComesAgainFromOtherAddressesIsRejectedAfterThreeCrashes() throws Exception {
        crashOnArrival();
        startInstances(1);
        for (int round = 1; round <= 3; round++) {
            int ended = round;
            sendFrom("127.0.0." + (1 + round), "/unsafe/x", "poison");
            RelayFixture.waitUntil(() -> crashesKnown(0) == ended);
        }
        String response = sendFrom("127.0.0.9", "/unsafe/x", "poison");
        Assert.assertTrue(response.contains("crashes_servers"), response);
        Assert.assertEquals(serversReached(), 3);
        Assert.assertFalse(sendFrom("127.0.0.9", "/unsafe/x", "fine").contains("crashes_servers"));
    }

    /** Servers that went dark under a request were not counted against it. */
    @Test
    public void aRequestUnderWhichThreeServersWentDarkIsRejected() throws Exception {
        startInstances(1);
        for (int round = 0; round < 3; round++) {
            long reachedBefore = serversReached();
            CompletableFuture<String> response = sendAsync(0, "/unsafe/x", "poison", 300);
            RelayFixture.waitUntil(() -> serversReached() > reachedBefore);
            delistReachedServers();
            Assert.assertTrue(response.get().startsWith("HTTP/1.1 504"), response.get());
        }
        String response = send(0, "/unsafe/x", "poison");
        Assert.assertTrue(response.contains("crashes_servers"), response);
    }

    /** The end of a server that hangs was known only when its entry expired. */
    @Test
    public void aServerThatHangsUnderARequestCountsBeforeItsEntryExpires() throws Exception {
        startInstances(1);
        for (int round = 1; round <= 3; round++) {
            int ended = round;
            send(0, "/unsafe/x", "poison", 300);
            RelayFixture.waitUntil(() -> crashesKnown(0) == ended);
            drainReachedServers();
        }
        Assert.assertTrue(send(0, "/unsafe/x", "poison").contains("crashes_servers"));
    }

    /** A hanging server was checked only at the deadline of the request, more than 3 s after it went dark. */
    @Test
    public void aServerThatHangsUnderASuspectCountsWhileTheRequestIsOpen() throws Exception {
        String patient = RelayFixture.configurationJson(1).replace("\"timeoutMs\":4000", "\"timeoutMs\":30000");
        store.put("keyed.op", "config", patient);
        startInstances(1);
        crashOnArrival();
        send(0, "/unsafe/x", "poison");
        RelayFixture.waitUntil(() -> crashesKnown(0) == 1);
        servers.forEach(server -> server.setScript((request, connection, out) -> {}));
        CompletableFuture<String> open = sendAsync(0, "/unsafe/x", "poison", 30_000);
        RelayFixture.waitUntil(() -> crashesKnown(0) == 2);
        Assert.assertFalse(open.isDone());
    }

    /** A run whose head had arrived left no trace when its deadline ended it, and nothing checked the server. */
    @Test
    public void aServerThatHangsAfterTheHeadOfItsResponseCounts() throws Exception {
        startInstances(1);
        for (ScriptedServer server : servers) {
            server.setScript((request, connection, out) -> {
                if (request.body().equals("poison")) {
                    out.write(ScriptedServer.streamHead(request));
                    server.setScript((later, open, silent) -> {});
                }
            });
        }
        for (int round = 1; round <= 3; round++) {
            int ended = round;
            sendAndLeave("/safe/x", "poison");
            RelayFixture.waitUntil(() -> crashesKnown(0) == ended);
            drainReachedServers();
        }
        Assert.assertTrue(send(0, "/safe/x", "poison").contains("crashes_servers"));
    }

    /** The end of a server was taken for the end of its response, and that for a success that clears the request. */
    @Test
    public void aServerThatEndsWithAResponseThatHasNoLengthCounts() throws Exception {
        startInstances(1);
        for (ScriptedServer server : servers) {
            server.setScript((request, connection, out) -> {
                if (request.body().equals("poison")) {
                    out.write(ScriptedServer.headWithoutLength(request));
                    out.flush();
                    server.close();
                }
            });
        }
        for (int round = 1; round <= 3; round++) {
            int ended = round;
            send(0, "/unsafe/x", "poison");
            RelayFixture.waitUntil(() -> crashesKnown(0) == ended);
        }
        Assert.assertTrue(send(0, "/unsafe/x", "poison").contains("crashes_servers"));
    }

    /** A refusal that ended with its connection counted as a run that may have been lost. */
    @Test
    public void aServerThatEndsAfterItHasRefusedARequestDoesNotCount() throws Exception {
        startInstances(1);
        for (ScriptedServer server : servers) {
            server.setScript((request, connection, out) -> {
                if (request.body().equals("refused")) {
                    out.write(ScriptedServer.refusalWithoutLength(request));
                    out.flush();
                    server.close();
                }
            });
        }
        send(0, "/unsafe/x", "refused");
        RelayFixture.waitUntil(
                () -> servers.stream().anyMatch(server -> !server.requests().isEmpty()));
        send(0, "/unsafe/x", "refused");
        send(0, "/unsafe/x", "lost", 300);
        RelayFixture.waitUntil(() -> crashesKnown(0) >= 1);
        Assert.assertEquals(crashesKnown(0), 1);
    }

    /** What an instance found while the store was away was dropped and told to nobody. */
    @Test
    public void endsFoundWhileTheStoreIsAwayAreKnownToOtherInstances() throws Exception {
        crashOnArrival();
        startInstances(2);
        awaitPeers();
        store.setFault(Fault.BUSY);
        sendUntilRejected(0, "/unsafe/x");
        long reached = serversReached();
        RelayFixture.waitUntil(() -> crashesKnown(1) == 3);
        String response = send(1, "/unsafe/x", "poison");
        Assert.assertTrue(response.contains("crashes_servers"), response);
        Assert.assertEquals(serversReached(), reached);
    }

    /** An instance that started after the ends had left the log's history let the request through again. */
    @Test
    public void anInstanceThatStartsAfterTheThirdEndRejectsTheRequest() throws Exception {
        crashOnArrival();
        startInstances(1);
        sendUntilRejected(0, "/unsafe/x");
        RelayFixture.waitUntil(() -> store.recordCount("keyed.crashes") >= 3);
        store.compact("keyed.crashes");
        instances.get(0).close();
        instances.add(RelayFixture.startInstance(store.address(1), "m2"));
        RelayFixture.waitUntil(instances.get(1)::isReady);
        String response = send(1, "/unsafe/x", "poison");
        Assert.assertTrue(response.contains("crashes_servers"), response);
    }

    /** The block was looked at on receipt only, so a request that was under way was sent on. */
    @Test
    public void aRequestThatIsUnderWayIsNotSentAgainAfterTheThirdEnd() throws Exception {
        String patient =
                RelayFixture.configurationJson(1).replace("\"targetLatencyMs\":400", "\"targetLatencyMs\":1500");
        store.put("keyed.op", "config", patient);
        startInstances(1);
        CompletableFuture<String> underWay = sendAsync(0, "/safe/x", "poison", 3_000);
        RelayFixture.waitUntil(() -> serversReached() == 1);
        ScriptedServer first = servers.stream()
                .filter(CrashingRequestTest::isReached)
                .findFirst()
                .orElseThrow();
        crashOnArrival();
        sendUntilRejected(0, "/safe/x");
        long reached = serversReached();
        first.crash();
        Assert.assertTrue(underWay.get().contains("crashes_servers"), underWay.get());
        Assert.assertEquals(serversReached(), reached);
    }

    private void startInstances(int count) throws Exception {
        for (int number = 0; number < count; number++) {
            instances.add(RelayFixture.startInstance(store.address(number), "m" + number));
        }
        for (RelayInstance instance : instances) {
            RelayFixture.waitUntil(instance::isReady);
        }
    }

    /** Waits until the instances have listed themselves and read the list. */
    private void awaitPeers() throws Exception {
        RelayFixture.waitUntil(() -> store.recordCount("keyed.instances") >= instances.size());
        for (RelayInstance instance : instances) {
            RelayFixture.waitUntil(() -> instance.readState().get().peers() == instances.size() - 1);
        }
    }

    private void list(int count) {
        for (int number = 0; number < count; number++) {
            ServerListing listing = ServerListing.plain("s" + number, servers.get(number));
            store.put("keyed.servers", listing.id(), listing.entryJson("ready", 1));
        }
    }

    private void delistReachedServers() throws Exception {
        for (int number = 0; number < SERVERS; number++) {
            if (isReached(servers.get(number))) {
                store.put("keyed.servers", "s" + number, null);
            }
        }
        long left = SERVERS - serversReached();
        RelayFixture.waitUntil(
                () -> instances.get(0).readState().get().backends().size() == left);
    }

    /**
     * Marks the reached servers as draining, so that the next request reaches another one: a server that hangs may be
     * chosen again while it is listed as ready.
     */
    private void drainReachedServers() throws Exception {
        for (int number = 0; number < SERVERS; number++) {
            if (isReached(servers.get(number))) {
                ServerListing listing = ServerListing.plain("s" + number, servers.get(number));
                store.put("keyed.servers", listing.id(), listing.entryJson("draining", 2));
            }
        }
        long reached = serversReached();
        RelayFixture.waitUntil(() -> instances.get(0).readState().get().backends().stream()
                        .filter(BackendState::leaving)
                        .count()
                == reached);
    }

    /** Makes each server crash when the request arrives. */
    private void crashOnArrival() {
        for (ScriptedServer server : servers) {
            Script script = (request, connection, out) -> {
                if (request.body().equals("poison")) {
                    server.crash();
                }
            };
            server.setScript(script);
        }
    }

    /** Sends the crashing request again and again, each time after the instance has noticed the crash before. */
    private void sendUntilRejected(int instance, String path) throws Exception {
        for (int round = 0; round < 20; round++) {
            if (send(instance, path, "poison").contains("crashes_servers")) {
                return;
            }
            RelayFixture.waitUntil(() -> crashesKnown(instance) >= Math.min(3, crashedServers()));
        }
        Assert.fail("the request was not rejected");
    }

    private int crashesKnown(int instance) throws Exception {
        return instances.get(instance).readState().get().crashes().values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /** Sends a request and closes the connection once a server has received it and half a second has passed. */
    private void sendAndLeave(String path, String body) throws Exception {
        long before = serversReached();
        try (Socket socket = RelayFixture.connect(instances.get(0))) {
            RelayFixture.send(socket, RelayFixture.postRequest(path, "id" + requestNumber++, "", body));
            RelayFixture.waitUntil(() -> serversReached() > before);
            TimeUnit.MILLISECONDS.sleep(500);
        }
    }

    private CompletableFuture<String> sendAsync(int instance, String path, String body, long timeoutMillis) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return send(instance, path, body, timeoutMillis);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private String send(int instance, String path, String body) throws Exception {
        return send(instance, path, body, 3_000);
    }

    private String send(int instance, String path, String body, long timeoutMillis) throws Exception {
        String request = RelayFixture.postRequest(path, "id" + requestNumber++, "", body);
        return RelayFixture.exchange(
                instances.get(instance), request.replace("Deadline-Ms: 3000", "Deadline-Ms: " + timeoutMillis));
    }

    /** Sends a request on a connection from a loopback address, as another host of the same caller. */
    private String sendFrom(String sourceAddress, String path, String body) throws Exception {
        String request = RelayFixture.postRequest(path, "id" + requestNumber++, "", body);
        return RelayFixture.exchangeFrom(sourceAddress, instances.get(0), request);
    }

    private long serversReached() {
        return servers.stream().filter(CrashingRequestTest::isReached).count();
    }

    private long crashedServers() {
        return servers.stream().filter(ScriptedServer::crashed).count();
    }

    private static boolean isReached(ScriptedServer server) {
        return server.requests().stream().anyMatch(request -> request.body().equals("poison"));
    }
}
