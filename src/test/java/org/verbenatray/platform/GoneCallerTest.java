package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.relay.RequestEnd;
import org.verbenatray.time.Ticker;

/** Requests whose callers leave while the instance runs late: the close lies unread in the socket of the caller. */
public final class GoneCallerTest {
    private static final String SHORT_PROMPT = "Token-Count: 10,5\r\n";

    /** More than the time after which a server without a response is given up, in milliseconds. */
    private static final long SILENCE_MILLIS = 2_500;

    private static final Script ANSWER = GoneCallerTest::answer;

    private EventLoop loop;

    /** Returns one path of each kind of route. */
    @DataProvider
    Object[][] paths() {
        return new Object[][] {{"/safe/x"}, {"/unsafe/x"}, {"/stream/x"}, {"/resume/x"}};
    }

    @Test(dataProvider = "paths")
    public void aRequestOnANewConnectionIsNotSentOnceItsCallerHasLeft(String path) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWarm(path, server)) {
            HeldLoop.hold(() -> sendAndClose(relay.connect(), request(path, "left")), loop);
            assertNotSent(relay, server);
        }
    }

    @Test(dataProvider = "paths")
    public void aRequestOnAKeptConnectionIsNotSentOnceItsCallerHasLeft(String path) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWarm(path, server)) {
            Socket caller = relay.connect();
            RelayFixture.send(caller, request(path, "kept"));
            RelayFixture.readResponse(new BufferedInputStream(caller.getInputStream()));
            HeldLoop.hold(() -> sendAndClose(caller, request(path, "left")), loop);
            assertNotSent(relay, server);
        }
    }

    @Test(dataProvider = "paths")
    public void aPipelinedRequestIsNotSentOnceItsCallerHasLeft(String path) throws Exception {
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWarm(path, server)) {
            String both = RelayFixture.getRequest("/no-such-route", "first") + request(path, "left");
            HeldLoop.hold(() -> sendAndClose(relay.connect(), both), loop);
            assertNotSent(relay, server);
        }
    }

    @Test
    public void aRequestIsNotSentToAnotherServerOnceItsCallerHasLeft() throws Exception {
        try (ScriptedServer first = ScriptedServer.start(ANSWER);
                ScriptedServer second = ScriptedServer.start(ANSWER);
                RelayFixture relay = startWarm("/safe/x", first, second)) {
            for (int round = 0; first.requests().isEmpty() || second.requests().isEmpty(); round++) {
                relay.exchange(request("/safe/x", "warm" + round));
            }
            first.setScript((request, connection, out) -> {});
            second.setScript((request, connection, out) -> {});
            Socket caller = relay.connect();
            RelayFixture.send(caller, request("/safe/x", "left"));
            relay.await(() -> arrivals(first, "left") + arrivals(second, "left") == 1);
            HeldLoop.hold(
                    () -> {
                        caller.close();
                        TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS);
                    },
                    loop);
            relay.await(() -> leftCount(relay) == 1);
            relay.passIoRounds();
            Assert.assertEquals(arrivals(first, "left") + arrivals(second, "left"), 1);
        }
    }

    @Test
    public void nothingIsPlannedForARequestWhoseCallerHasLeftBeforeItWasRead() throws Exception {
        loop = EventLoop.start(Ticker.system());
        AtomicInteger translated = new AtomicInteger();
        try (ScriptedServer server = ScriptedServer.start(ANSWER);
                RelayFixture relay = RelayFixture.startReady(
                        loop,
                        InterceptedDialect.before("forward", translated::incrementAndGet),
                        ServerListing.engine("e1", "decode", server))) {
            HeldLoop.hold(() -> sendAndClose(relay.connect(), request("/resume/x", "left")), loop);
            assertNotSent(relay, server);
            Assert.assertEquals(translated.get(), 0);
        }
    }

    /** Starts an instance that has an idle connection to each server on which a request of the path is served. */
    private RelayFixture startWarm(String path, ScriptedServer... servers) throws Exception {
        loop = EventLoop.start(Ticker.system());
        ServerListing[] listings = new ServerListing[servers.length];
        for (int number = 0; number < servers.length; number++) {
            listings[number] = isStream(path)
                    ? ServerListing.engine("e" + number, "decode", servers[number])
                    : ServerListing.plain("s" + number, servers[number]);
        }
        RelayFixture relay = RelayFixture.startReady(loop, listings);
        relay.exchange(request(path, "warm"));
        return relay;
    }

    private static void sendAndClose(Socket caller, String requests) throws IOException {
        try (caller) {
            RelayFixture.send(caller, requests);
        }
    }

    private static void assertNotSent(RelayFixture relay, ScriptedServer server) throws Exception {
        relay.await(() -> leftCount(relay) == 1);
        relay.passIoRounds();
        Assert.assertEquals(arrivals(server, "left"), 0);
    }

    private static long leftCount(RelayFixture relay) {
        return relay.instance().readState().join().requestEnds().getOrDefault(RequestEnd.CALLER_LEFT, 0L);
    }

    private static long arrivals(ScriptedServer server, String id) {
        return server.requests().stream()
                .filter(request -> request.header("request-id").equals(id))
                .count();
    }

    private static String request(String path, String id) {
        return RelayFixture.postRequest(path, id, isStream(path) ? SHORT_PROMPT : "", "body");
    }

    private static boolean isStream(String path) {
        return !path.contains("safe");
    }

    private static void answer(ScriptedServer.Request request, Socket connection, OutputStream out) throws IOException {
        if (request.line().startsWith("GET")) {
            out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
        } else if (isStream(request.line())) {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
        } else {
            out.write(ScriptedServer.okResponse(request, "whole"));
        }
    }
}
