package org.verbenatray.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.time.Ticker;

/** Servers that take a limited number of connections from all callers and reset those beyond it. */
public final class ConnectionLimitTest {
    /** Long enough for any reset to arrive, however busy the machine is. */
    private static final long ADMISSION_MILLIS = 1_000;

    /** Few, as the stand-in resets one connection after the other. */
    private static final int CONCURRENT_REQUESTS = 4;

    /** Each request opened a connection, which then lay idle until the server reset new ones: 502, may have run. */
    @Test
    public void requestsThatMayNotBeRepeatedDoNotUseUpTheConnectionsOfAServer() throws Exception {
        try (CappedServer server = CappedServer.start(2);
                RelayFixture relay = RelayFixture.startReady(loop(), server.listing("s1"))) {
            for (int number = 0; number < 20; number++) {
                String response = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id" + number, "", "b"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            Assert.assertEquals(server.reset(), 0);
        }
    }

    /** The request was written into the connection before its reset came: 502, may have run. */
    @Test
    public void aRequestWhoseNewConnectionIsResetAtOnceGoesToAnotherServer() throws Exception {
        try (CappedServer full = CappedServer.start(0);
                CappedServer free = CappedServer.start(50);
                RelayFixture relay = RelayFixture.startReady(loop(), full.listing("s1"), free.listing("s2"))) {
            List<CompletableFuture<String>> responses = new ArrayList<>();
            for (int number = 0; number < CONCURRENT_REQUESTS; number++) {
                String request = RelayFixture.postRequest("/unsafe/x", "id" + number, "", "b");
                responses.add(CompletableFuture.supplyAsync(() -> exchange(relay, request)));
            }
            for (CompletableFuture<String> response : responses) {
                Assert.assertTrue(response.join().startsWith("HTTP/1.1 200"), response.join());
            }
            Assert.assertTrue(full.reset() > 0);
            Assert.assertTrue(relay.instance().readState().get().crashes().isEmpty());
        }
    }

    @Test
    public void aRequestThatNoServerTakesAConnectionForIsRefusedAsNotRun() throws Exception {
        try (CappedServer full = CappedServer.start(0);
                RelayFixture relay = RelayFixture.startReady(loop(), full.listing("s1"))) {
            String response = relay.exchange(RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            Assert.assertTrue(response.startsWith("HTTP/1.1 503"), response);
        }
    }

    private static EventLoop loop() {
        return EventLoop.start(Ticker.system(), MemoryAccount.ofHeap(), ADMISSION_MILLIS);
    }

    private static String exchange(RelayFixture relay, String request) {
        try {
            return relay.exchange(request);
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** A plain server that resets connections beyond its limit shortly after it has accepted them. */
    private static final class CappedServer implements AutoCloseable {
        /** The time from the accept to the reset, in which a request that does not wait is written. */
        private static final long RESET_DELAY_MILLIS = 100;

        private final ScriptedServer server;
        private final AtomicInteger reset = new AtomicInteger();

        private CappedServer(int limit) throws IOException {
            this.server = ScriptedServer.start(
                    (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok")));
            server.onAccept(connection -> {
                if (server.openCount() > limit) {
                    reset.incrementAndGet();
                    resetConnection(connection);
                }
            });
        }

        static CappedServer start(int limit) throws IOException {
            return new CappedServer(limit);
        }

        ServerListing listing(String id) {
            return ServerListing.plain(id, server);
        }

        int reset() {
            return reset.get();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }

        private static void resetConnection(Socket connection) {
            try {
                TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MILLIS);
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
