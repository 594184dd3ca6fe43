package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/** Polls of engines that take longer to answer than an instance waits before it takes them for unreachable. */
public final class SlowPollTest {
    private static final int FURTHER_POLLS = 3;

    /** The first request of each connection of the engine. */
    private final Map<Socket, String> firstLines = new ConcurrentHashMap<>();

    private final AtomicInteger polls = new AtomicInteger();

    /** What the engine waits for before it answers a poll. */
    private volatile CountDownLatch gate = new CountDownLatch(0);

    /** Work went on for callers that had left: each poll of a slow engine opened connections, ahead of requests. */
    @Test
    public void pollsOfASlowEngineOpenNoFurtherConnections() throws Exception {
        try (ScriptedServer engine = ScriptedServer.start(this::answer);
                RelayFixture relay = RelayFixture.startReady(ServerListing.engine("e1", "decode", engine))) {
            relay.await(() -> polls.get() >= FURTHER_POLLS);
            long before = openedByPolls();
            gate = new CountDownLatch(1);
            relay.await(() -> ask(relay).contains("no_server_in_reach"));
            gate.countDown();
            int pollsThen = polls.get();
            relay.await(() -> polls.get() >= pollsThen + FURTHER_POLLS);
            Assert.assertEquals(openedByPolls() - before, 0, "connections opened by polls");
            Assert.assertTrue(ask(relay).startsWith("HTTP/1.1 200"));
        }
    }

    private static String ask(RelayFixture relay) throws IOException {
        return relay.exchange(RelayFixture.getRequest("/resume/x", "id"));
    }

    /** Returns the number of connections that were opened for polls. */
    private long openedByPolls() {
        return firstLines.values().stream()
                .filter(line -> line.startsWith("GET /report") || line.startsWith("GET /kv-events"))
                .count();
    }

    private void answer(Request request, Socket connection, OutputStream out) throws IOException {
        firstLines.putIfAbsent(connection, request.line());
        if (request.line().startsWith("GET /resume")) {
            out.write(ScriptedServer.streamHead(request));
            out.write(ScriptedServer.eventChunk(1, "a"));
            out.write(ScriptedServer.lastChunk());
            return;
        }
        Latches.await(gate);
        if (request.line().startsWith("GET /report")) {
            polls.incrementAndGet();
        }
        out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
    }
}
