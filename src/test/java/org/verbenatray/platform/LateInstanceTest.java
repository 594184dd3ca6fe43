package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;
import org.verbenatray.servers.BufferedResponse;
import org.verbenatray.servers.CallPurpose;
import org.verbenatray.servers.ConnectionUse;
import org.verbenatray.servers.HttpCall;
import org.verbenatray.time.Deadline;
import org.verbenatray.time.Ticker;

/** An instance that runs late takes nobody for silent whose bytes have arrived meanwhile and are not read yet. */
public final class LateInstanceTest {
    /** More than the time after which a server without a response is given up, in milliseconds. */
    private static final long SILENCE_MILLIS = 2_500;

    /** More than the time in which a connection must be open, in milliseconds. */
    private static final long CONNECT_MILLIS = 800;

    /** The time that a caller or a call allows for the response, in milliseconds. */
    private static final long DEADLINE_MILLIS = 600;

    private static final int TIMEOUT_SECONDS = 20;

    private static final int MAX_RESPONSE_BYTES = 1_024;

    /** Holds back the responses to POST requests. */
    private volatile CountDownLatch gate = new CountDownLatch(0);

    /** Returns the paths of routes whose requests are moved from a silent server to another one. */
    @DataProvider
    Object[][] repeatablePaths() {
        return new Object[][] {{"/safe/x"}, {"/resume/x"}};
    }

    @Test(dataProvider = "repeatablePaths")
    public void aServerThatHasAnsweredIsNotTakenForSilent(String path) throws Exception {
        EventLoop loop = EventLoop.start(Ticker.system());
        try (ScriptedServer first = ScriptedServer.start(this::answer);
                ScriptedServer second = ScriptedServer.start(this::answer);
                RelayFixture relay = startReady(loop, path, first, second);
                Socket caller = relay.connect()) {
            gate = new CountDownLatch(1);
            RelayFixture.send(caller, request(path));
            relay.await(() -> arrivals(first) + arrivals(second) == 1);
            holdWhileAnswering(loop, SILENCE_MILLIS);
            assertAnswered(caller);
            Assert.assertEquals(arrivals(first) + arrivals(second), 1);
        }
    }

    @Test
    public void anAnswerThatArrivedBeforeTheDeadlineIsDelivered() throws Exception {
        EventLoop loop = EventLoop.start(Ticker.system());
        for (String path : new String[] {"/safe/x", "/unsafe/x", "/stream/x"}) {
            try (ScriptedServer server = ScriptedServer.start(this::answer);
                    RelayFixture relay = startReady(loop, path, server);
                    Socket caller = relay.connect()) {
                gate = new CountDownLatch(1);
                RelayFixture.send(
                        caller, request(path).replace("Deadline-Ms: 3000", "Deadline-Ms: " + DEADLINE_MILLIS));
                relay.await(() -> arrivals(server) == 1);
                holdWhileAnswering(loop, DEADLINE_MILLIS);
                assertAnswered(caller);
            }
            loop = EventLoop.start(Ticker.system());
        }
        loop.close();
    }

    @Test
    public void aServerThatHasAcceptedAConnectionIsNotTakenForUnreachable() throws Exception {
        EventLoop loop = EventLoop.start(Ticker.system());
        try (ScriptedServer server = ScriptedServer.start(this::answer)) {
            CompletableFuture<Void> connected = new CompletableFuture<>();
            loop.thread().execute(() -> {
                URI address = URI.create("http://" + server.address());
                loop.transport().connect(address, loop.thread(), "pool").whenComplete((done, failure) -> {
                    if (failure == null) {
                        connected.complete(null);
                    } else {
                        connected.completeExceptionally(failure);
                    }
                });
                pause(CONNECT_MILLIS);
            });
            connected.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            loop.close();
        }
    }

    @Test
    public void aCallThatWasAnsweredBeforeItsDeadlineIsComplete() throws Exception {
        EventLoop loop = EventLoop.start(Ticker.system());
        try (ScriptedServer server = ScriptedServer.start(this::answer)) {
            gate = new CountDownLatch(1);
            CompletableFuture<BufferedResponse> response = call(loop, server, DEADLINE_MILLIS);
            RelayFixture.waitUntil(() -> arrivals(server) == 1);
            holdWhileAnswering(loop, DEADLINE_MILLIS);
            Assert.assertEquals(response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).status(), 200);
        } finally {
            loop.close();
        }
    }

    @Test
    public void aTaskThatConcludesSomethingFromSilenceRunsAfterWhatHasArrived() throws Exception {
        EventLoop loop = EventLoop.start(Ticker.system());
        try (ScriptedServer server = ScriptedServer.start(this::answer)) {
            gate = new CountDownLatch(1);
            CompletableFuture<BufferedResponse> response = call(loop, server, TIMEOUT_SECONDS * 1_000L);
            RelayFixture.waitUntil(() -> arrivals(server) == 1);
            CompletableFuture<Boolean> answeredBefore = new CompletableFuture<>();
            Deadline silence = Deadline.afterMillis(loop.ticker().nanos(), DEADLINE_MILLIS);
            loop.silenceScheduler().runAt(silence, () -> answeredBefore.complete(response.isDone()));
            holdWhileAnswering(loop, DEADLINE_MILLIS);
            Assert.assertTrue(answeredBefore.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        } finally {
            loop.close();
        }
    }

    private static CompletableFuture<BufferedResponse> call(EventLoop loop, ScriptedServer server, long millis) {
        URI address = URI.create("http://" + server.address());
        HttpCall call = new HttpCall(
                "POST",
                address,
                "/safe/x",
                Map.of(),
                new byte[0],
                ConnectionUse.NEW,
                "pool",
                Optional.empty(),
                CallPurpose.REQUEST);
        Deadline deadline = Deadline.afterMillis(loop.ticker().nanos(), millis);
        return loop.transport().call(call, loop.thread(), deadline, MAX_RESPONSE_BYTES);
    }

    /** Holds the event loop while the responses are sent and the given time in milliseconds passes. */
    private void holdWhileAnswering(EventLoop loop, long millis) throws Exception {
        HeldLoop.hold(
                () -> {
                    gate.countDown();
                    pause(millis);
                },
                loop);
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static RelayFixture startReady(EventLoop loop, String path, ScriptedServer... servers) throws Exception {
        ServerListing[] listings = new ServerListing[servers.length];
        for (int number = 0; number < servers.length; number++) {
            listings[number] = path.contains("safe")
                    ? ServerListing.plain("s" + number, servers[number])
                    : ServerListing.engine("e" + number, "decode", servers[number]);
        }
        return RelayFixture.startReady(loop, listings);
    }

    private static String request(String path) {
        return RelayFixture.postRequest(path, "late", path.contains("safe") ? "" : "Token-Count: 10,5\r\n", "body");
    }

    private static void assertAnswered(Socket caller) throws IOException {
        String response = RelayFixture.readResponse(new BufferedInputStream(caller.getInputStream()));
        Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    private static long arrivals(ScriptedServer server) {
        return server.requests().stream()
                .filter(request -> request.line().startsWith("POST"))
                .count();
    }

    private void answer(Request request, Socket connection, OutputStream out) throws IOException {
        if (request.line().startsWith("GET")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
            return;
        }
        Latches.await(gate);
        if (request.line().contains("safe")) {
            out.write(ScriptedServer.okResponse(request, "whole"));
        } else {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
        }
    }
}
