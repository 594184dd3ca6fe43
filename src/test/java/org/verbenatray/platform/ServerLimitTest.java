package org.verbenatray.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.instance.RelayInstance;

/** Servers that name the number of requests a second that they take from all instances together. */
public final class ServerLimitTest {
    private static final int INSTANCES = 6;

    private static final int SERVERS = 4;

    /** The time between two requests of the load, to whichever instance, in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 16;

    /** From the naming of the limit: 3 s until it must be kept, and two windows of 4 s. */
    private static final long LOAD_SECONDS = 11;

    private final Random random = new Random(30);

    private FakeStore store;
    private List<LimitedServer> servers;
    private List<RelayInstance> instances;
    private ExecutorService callers;
    private int sent;

    @BeforeMethod
    public void start() throws Exception {
        sent = 0;
        callers = Executors.newCachedThreadPool();
        store = FakeStore.startOnPorts(INSTANCES);
        store.put("keyed.op", "config", RelayFixture.configurationJson(1));
        servers = new ArrayList<>();
        for (int number = 0; number < SERVERS; number++) {
            servers.add(LimitedServer.start("s" + number));
        }
        for (LimitedServer server : servers) {
            store.put("keyed.servers", server.listing().id(), server.listing().entryJson("ready", 1));
        }
        instances = new ArrayList<>();
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(RelayFixture.startInstance(store.address(number), "m" + number));
        }
        RelayFixture.waitUntilConnected(instances);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        callers.shutdownNow();
        instances.forEach(RelayInstance::close);
        for (LimitedServer server : servers) {
            server.close();
        }
        store.close();
    }

    @Test
    public void aServerThatNamesALimitGetsNoMoreThanThatFromAllInstances() throws Exception {
        servers.get(0).setLimit("4");
        List<String> responses = sendLoad();
        int most = servers.get(0).mostInWindow();
        Assert.assertTrue(most <= LimitedServer.allowedInWindow(4), "requests in 4 s: " + most);
        Assert.assertTrue(servers.get(0).requestsAfterNotice() > 0, "the limited server is not used");
        responses.forEach(response -> Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response));
    }

    @Test
    public void whenAllServersNameALimitTheRestIsRejectedAsNotRun() throws Exception {
        for (LimitedServer server : servers) {
            server.setLimit("3.6");
        }
        List<String> responses = sendLoad();
        for (LimitedServer server : servers) {
            int most = server.mostInWindow();
            Assert.assertTrue(most <= LimitedServer.allowedInWindow(3.6), "requests in 4 s: " + most);
            double offered = 3.6 * (LOAD_SECONDS - 3);
            Assert.assertTrue(
                    server.requestsAfterNotice() >= offered / 2,
                    "less than half of the offered rate is used: " + server.requestsAfterNotice() + " of " + offered);
        }
        for (String response : responses) {
            boolean served = response.startsWith("HTTP/1.1 200");
            boolean rejected = response.startsWith("HTTP/1.1 503") && response.contains("Retry-After: ");
            Assert.assertTrue(served || rejected, response);
        }
        long received = servers.stream().mapToInt(LimitedServer::requestCount).sum();
        long served = responses.stream()
                .filter(response -> response.startsWith("HTTP/1.1 200"))
                .count();
        Assert.assertEquals(served, received, "a rejected request has reached a server");
    }

    @Test
    public void aServerWhoseLimitHasEndedGetsItsShareAgain() throws Exception {
        servers.get(0).setLimit("0.5");
        sendUntil(() -> servers.get(0).requestsAfterNotice() > 0);
        servers.get(0).setLimit(null);
        int before = servers.get(0).requestCount();
        int sentBefore = sent;
        sendUntil(() -> servers.get(0).requestCount() - before >= 40);
        Assert.assertTrue(
                sent - sentBefore < 1_000,
                "the server got 40 requests of " + (sent - sentBefore) + " after the end of its limit");
    }

    /** Sends requests at a steady rate to instances chosen at random, and returns the responses. */
    private List<String> sendLoad() throws Exception {
        List<Future<String>> responses = new ArrayList<>();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOAD_SECONDS);
        while (System.nanoTime() < end) {
            responses.add(sendOne());
        }
        List<String> texts = new ArrayList<>();
        for (Future<String> response : responses) {
            texts.add(response.get());
        }
        return texts;
    }

    /** Sends requests at a steady rate until a condition holds; fails after some time. */
    private void sendUntil(BooleanSupplier condition) throws Exception {
        RelayFixture.waitUntil(() -> {
            sendOne();
            return condition.getAsBoolean();
        });
    }

    private Future<String> sendOne() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
        int instance = random.nextInt(INSTANCES);
        sent++;
        String id = "id" + sent;
        return callers.submit(() -> send(instance, id));
    }

    private String send(int instance, String id) throws IOException {
        String request = RelayFixture.postRequest("/safe/x", id, "X-Instance: m" + instance + "\r\n", "body");
        return RelayFixture.exchange(instances.get(instance), request);
    }
}
