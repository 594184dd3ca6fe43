package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.relay.RequestEnd;

/** Requests that an instance which reaches no server sends through one that does. */
public final class ForwardedRequestTest {
    /** The time in seconds within which the end of a caller's connection must be passed on. */
    private static final int CLOSE_TIMEOUT_SECONDS = 5;

    private PartitionableFleet fleet;

    /** Holds back the events that engines send; open unless a test closes it. */
    private volatile CountDownLatch gate = new CountDownLatch(0);

    @BeforeMethod
    public void start() throws Exception {
        gate = new CountDownLatch(0);
        fleet = PartitionableFleet.start(3);
        fleet.partition(0, true);
        fleet.awaitNotReady(0, 1);
        fleet.setGeneration((request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "first"));
            out.flush();
            Latches.await(gate);
            out.write(ScriptedServer.eventChunk(2, "second"));
            out.write(ScriptedServer.lastChunk());
        });
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        gate.countDown();
        fleet.close();
    }

    @Test
    public void aStreamReachesTheCallerWholeAndEachEventAsItComes() throws Exception {
        keepAnswering();
        gate = new CountDownLatch(1);
        try (Socket caller = RelayFixture.connect(fleet.instance(0))) {
            RelayFixture.send(caller, PartitionableFleet.request("/resume/x", "watched"));
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            readUntil(in, "data: first\n\n");
            gate.countDown();
            String rest = readUntil(in, "0\r\n\r\n");
            Assert.assertTrue(rest.contains("data: second"), rest);
        }
        Assert.assertEquals(fleet.arrivals("watched").size(), 1);
    }

    /** Callers got the text of one run and the whole stream of another as one complete answer (review/8). */
    @Test
    public void aTextAfterWhichAnEngineBreaksOffIsNotJoinedWithTheStreamOfAnother() throws Exception {
        AtomicBoolean spoilt = new AtomicBoolean();
        fleet.setGeneration((request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            if (request.header("request-id").equals("spoilt") && spoilt.compareAndSet(false, true)) {
                out.write(ScriptedServer.chunk("internal error\n\n"));
                out.flush();
                connection.close();
                return;
            }
            out.write(ScriptedServer.eventChunk(1, "first"));
            out.write(ScriptedServer.lastChunk());
        });
        keepAnswering();
        try (Socket caller = RelayFixture.connect(fleet.instance(0))) {
            RelayFixture.send(caller, PartitionableFleet.request("/resume/x", "spoilt"));
            CallerReply reply = CallerReply.read(new BufferedInputStream(caller.getInputStream()));
            Assert.assertTrue(reply.whole(), reply.toString());
            Assert.assertEquals(reply.body(), "id: 1\ndata: first\n\n");
        }
        Assert.assertEquals(fleet.arrivals("spoilt").size(), 2);
    }

    /** Callers lost streams of which all events had come: the empty rest was taken for broken (review/10). */
    @Test
    public void aStreamOfWhichNothingWasLeftIsComplete() throws Exception {
        CallerReply reply = callForRest("id: 2\ndata: second\n\n");
        Assert.assertTrue(reply.whole(), reply.toString());
        Assert.assertEquals(reply.body(), "id: 1\ndata: first\n\nid: 2\ndata: second\n\n");
    }

    /** A stream ended as complete before its last event where an engine sent nothing of the rest (ORDER). */
    @Test
    public void aStreamWhoseRestWasLostIsNotComplete() throws Exception {
        CallerReply reply = callForRest("");
        Assert.assertFalse(reply.whole(), reply.toString());
    }

    /**
     * Calls engines that break off behind the second event and send nothing behind it.
     *
     * @param afterFirst what they send behind the first event
     */
    private CallerReply callForRest(String afterFirst) throws Exception {
        fleet.setGeneration((request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            boolean isRest = request.header("last-event-id").equals("2");
            boolean brokenOff = request.header("request-id").equals("lost")
                    && request.header("last-event-id").isEmpty();
            if (brokenOff) {
                out.write(ScriptedServer.eventChunk(1, "first"));
                out.write(ScriptedServer.eventChunk(2, "second"));
                out.flush();
                connection.close();
                return;
            }
            if (!isRest && !afterFirst.isEmpty()) {
                out.write(ScriptedServer.chunk(afterFirst));
            }
            out.write(ScriptedServer.lastChunk());
        });
        keepAnswering();
        try (Socket caller = RelayFixture.connect(fleet.instance(0))) {
            RelayFixture.send(caller, PartitionableFleet.request("/resume/x", "lost"));
            return CallerReply.read(new BufferedInputStream(caller.getInputStream()));
        }
    }

    @Test
    public void aRequestThatMayNotBeRepeatedArrivesOnceWithItsBodyAndLessTime() throws Exception {
        keepAnswering();
        String response = RelayFixture.exchange(fleet.instance(0), PartitionableFleet.request("/stream/x", "once"));
        Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
        Assert.assertEquals(fleet.arrivals("once").size(), 1);
        Request arrived = fleet.arrivals("once").get(0);
        Assert.assertEquals(arrived.body(), "body of once");
        Assert.assertTrue(arrived.line().startsWith("POST /stream/x "), arrived.line());
        Assert.assertTrue(Long.parseLong(arrived.header("deadline-ms")) < 3000, arrived.header("deadline-ms"));
    }

    @Test
    public void theServerStopsWhenTheCallerLeaves() throws Exception {
        keepAnswering();
        fleet.setGeneration((request, connection, out) -> {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "first"));
        });
        int closedBefore = closedByPeers();
        try (Socket caller = RelayFixture.connect(fleet.instance(0))) {
            RelayFixture.send(caller, PartitionableFleet.request("/resume/x", "left"));
            readUntil(new BufferedInputStream(caller.getInputStream()), "data: first\n\n");
        }
        RelayFixture.waitUntil(() -> closedByPeers() > closedBefore, CLOSE_TIMEOUT_SECONDS);
    }

    @Test
    public void aRequestIsNotForwardedOnceItsCallerHasLeft() throws Exception {
        keepAnswering();
        RelayFixture.exchange(fleet.instance(0), PartitionableFleet.request("/resume/x", "before"));
        keepAnswering();
        HeldLoop.hold(this::sendAndClose, fleet.loop(0));
        awaitLeft();
        Assert.assertEquals(fleet.arrivals("left").size(), 0);
    }

    @Test
    public void aForwardedRequestIsNotSentOnceItsCallerHasLeft() throws Exception {
        keepAnswering();
        HeldLoop.hold(
                () -> {
                    sendAndClose();
                    awaitLeft();
                },
                fleet.loop(1),
                fleet.loop(2));
        RelayFixture.waitUntil(() -> openRequests(1) + openRequests(2) == 0);
        keepAnswering();
        Assert.assertEquals(fleet.arrivals("left").size(), 0);
    }

    @Test
    public void aRequestWhoseOtherInstanceEndsMidwayIsNotSentAgainAndLooksIncomplete() throws Exception {
        keepAnswering();
        gate = new CountDownLatch(1);
        try (Socket caller = RelayFixture.connect(fleet.instance(0))) {
            RelayFixture.send(caller, PartitionableFleet.request("/stream/x", "cut"));
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            readUntil(in, "data: first\n\n");
            fleet.instance(1).close();
            fleet.instance(2).close();
            Assert.assertFalse(readToEnd(in).contains("0\r\n\r\n"));
        }
        Assert.assertEquals(fleet.arrivals("cut").size(), 1);
    }

    @Test
    public void anInstanceThatReachesNoServerEitherDeclinesAndAnotherOneIsAsked() throws Exception {
        fleet.partition(1, true);
        RelayFixture.waitUntil(() -> {
            fleet.call(2, fleet.request("/resume/x"));
            return !fleet.instance(1).isReady();
        });
        for (int round = 0; round < 10; round++) {
            fleet.call(2, fleet.request("/resume/x"));
            String id = "through" + round;
            String response = RelayFixture.exchange(fleet.instance(0), PartitionableFleet.request("/stream/x", id));
            Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            Assert.assertEquals(fleet.arrivals(id).size(), 1);
        }
    }

    @Test
    public void requestsToAServiceThatOnlyThisInstanceDoesNotReachAreForwarded() throws Exception {
        fleet.refuseByPlainServer(2, true);
        for (int number = 0; number < 10; number++) {
            keepAnswering();
            String id = "plain" + number;
            String response =
                    RelayFixture.exchange(fleet.instance(2), RelayFixture.postRequest("/unsafe/x", id, "", "b"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            Assert.assertEquals(
                    fleet.plainServer().requests().stream()
                            .filter(request -> request.header("request-id").equals(id))
                            .count(),
                    1);
        }
    }

    @Test
    public void theInstanceThatServesTheRequestIdentifiesItsCustomer() throws Exception {
        String customers = "{\"name\":\"acme\",\"apiKeys\":[\"k-acme\"]}";
        String configuration = CustomerKeysTest.configuration(2, customers)
                .replace("\"pathPrefix\":\"/resume/\"", "\"public\":true,\"pathPrefix\":\"/resume/\"");
        fleet.putConfiguration(2, configuration);
        keepAnswering();
        String request = RelayFixture.postRequest("/stream/x", "keyed", "Key: k-acme\r\nTenant: other\r\n", "b");
        String response = RelayFixture.exchange(fleet.instance(0), request);
        Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
        Request arrived = fleet.arrivals("keyed").get(0);
        Assert.assertEquals(arrived.header("tenant"), "acme");
        Assert.assertEquals(arrived.header("key"), "");
    }

    /** Makes engines answer both other instances, which tell the partitioned one of it. */
    private void keepAnswering() throws InterruptedException {
        for (int round = 0; round < 3; round++) {
            fleet.call(1, fleet.request("/resume/x"));
            fleet.call(2, fleet.request("/resume/x"));
        }
        TimeUnit.MILLISECONDS.sleep(20);
    }

    /** Sends a request to the partitioned instance and closes its connection. */
    private void sendAndClose() throws Exception {
        try (Socket caller = RelayFixture.connect(fleet.instance(0))) {
            RelayFixture.send(caller, PartitionableFleet.request("/resume/x", "left"));
        }
    }

    /** Waits until the partitioned instance has noticed that a caller has left. */
    private void awaitLeft() throws Exception {
        RelayFixture.waitUntil(
                () -> fleet.instance(0).readState().join().requestEnds().containsKey(RequestEnd.CALLER_LEFT));
        fleet.call(0, fleet.request("/resume/x"));
    }

    private int openRequests(int instance) {
        return fleet.instance(instance).readState().join().openRequests();
    }

    private int closedByPeers() {
        return fleet.engines().stream()
                .mapToInt(ScriptedServer::closedByPeerCount)
                .sum();
    }

    private static String readUntil(BufferedInputStream in, String end) throws Exception {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith(end)) {
            int next = in.read();
            Assert.assertTrue(
                    next >= 0,
                    "the connection ended after "
                            + text.toString().replace("\r", "\\r").replace("\n", "\\n"));
            text.append((char) next);
        }
        return text.toString();
    }

    private static String readToEnd(BufferedInputStream in) throws Exception {
        StringBuilder text = new StringBuilder();
        try {
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
            }
        } catch (java.net.SocketException e) {
            // A reset also shows that the response is not complete.
        }
        return text.toString();
    }
}
