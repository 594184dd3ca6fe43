package org.verbenatray.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Request;

/**
 * An instance that doubts whether new connections can be opened, as a server has ended, tries a few: connections of all
 * instances to all engines at a time would make the engines too busy to accept requests.
 */
public final class NewConnectionDoubtTest {
    private static final int ENGINES = 16;

    /** The polls in which trials are counted: each engine is polled once at most. */
    private static final int POLLS = 12;

    /** Twice as many as are tried at a time, as the first ones may have ended. */
    private static final int MAX_TRIALS = 6;

    /** The first request of each connection of an engine. */
    private final Map<Socket, String> firstLines = new ConcurrentHashMap<>();

    private final AtomicInteger loadPolls = new AtomicInteger();

    private volatile boolean silent;

    @Test
    public void fewConnectionsAreTriedAtATime() throws Exception {
        List<ScriptedServer> engines = new ArrayList<>();
        List<ServerListing> listings = new ArrayList<>(List.of(ended("s1")));
        for (int number = 0; number < ENGINES; number++) {
            engines.add(ScriptedServer.start(this::answerPolls));
            listings.add(ServerListing.engine("e" + number, "decode", engines.get(number)));
        }
        try (RelayFixture relay = RelayFixture.startReady(listings.toArray(ServerListing[]::new))) {
            relay.await(() -> loadPolls.get() >= 2 * ENGINES);
            silent = true;
            long before = trials();
            relay.exchange(RelayFixture.getRequest("/safe/x", "id"));
            int pollsThen = loadPolls.get();
            relay.await(() -> loadPolls.get() >= pollsThen + POLLS);
            Assert.assertTrue(trials() - before <= MAX_TRIALS, "trials: " + (trials() - before));
        } finally {
            for (ScriptedServer engine : engines) {
                engine.close();
            }
        }
    }

    /** Returns the number of connections that were opened for the changes of a cache. */
    private long trials() {
        return firstLines.values().stream()
                .filter(line -> line.startsWith("GET /kv-events"))
                .count();
    }

    private void answerPolls(Request request, Socket connection, OutputStream out) throws IOException {
        firstLines.putIfAbsent(connection, request.line());
        if (request.line().startsWith("GET /report")) {
            loadPolls.incrementAndGet();
        } else if (silent) {
            return;
        }
        out.write(ScriptedServer.response(request, 200, "", "{\"stage\":\"decode\",\"seq\":0}"));
    }

    /** Returns a server at whose address nothing listens any more. */
    private static ServerListing ended(String id) throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new ServerListing(id, "plain", "127.0.0.1:" + socket.getLocalPort(), "", 1);
        }
    }
}
