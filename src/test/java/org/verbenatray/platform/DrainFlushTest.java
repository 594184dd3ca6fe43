package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.platform.RelayFixture.ServerListing;

/** Answers that are still being sent when an instance has finished all its requests and ends. */
public final class DrainFlushTest {
    /** More than the buffers of a loopback connection hold. */
    private static final int LARGE_BODY_BYTES = 12 * 1024 * 1024;

    /** Time in nanoseconds after which a drain of an instance without requests has ended. */
    private static final long MIN_DRAIN_NANOS = 3_000_000_000L;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 * 1024;

    @Test
    public void aSlowCallerGetsItsWholeAnswerFromAStoppingInstance() throws Exception {
        String body = "x".repeat(LARGE_BODY_BYTES);
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, body)));
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = connectWithSmallBuffer(relay)) {
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            relay.await(() -> !relay.instance().readState().get().requestEnds().isEmpty());
            CompletableFuture<Void> ended =
                    CompletableFuture.runAsync(relay.instance()::drain).thenRun(relay.instance()::close);
            awaitEndOfMinimalDrain(relay);
            String text = RelayFixture.readResponse(new BufferedInputStream(caller.getInputStream()));
            Assert.assertTrue(text.startsWith("HTTP/1.1 200"), text.substring(0, Math.min(200, text.length())));
            Assert.assertEquals(text.length() - text.indexOf("\r\n\r\n") - 4, LARGE_BODY_BYTES);
            ended.join();
        }
    }

    @Test
    public void aCallerThatReadsNothingDelaysTheEndOnlyForTheGrace() throws Exception {
        String body = "x".repeat(LARGE_BODY_BYTES);
        try (ScriptedServer server = ScriptedServer.start(
                        (request, connection, out) -> out.write(ScriptedServer.okResponse(request, body)));
                RelayFixture relay = RelayFixture.startReady(ServerListing.plain("s1", server));
                Socket caller = connectWithSmallBuffer(relay)) {
            RelayFixture.send(caller, RelayFixture.postRequest("/unsafe/x", "id1", "", "b"));
            relay.await(() -> !relay.instance().readState().get().requestEnds().isEmpty());
            relay.instance().drain();
        }
    }

    /** Waits until a drain of an instance without requests would have ended. */
    private static void awaitEndOfMinimalDrain(RelayFixture relay) throws Exception {
        relay.await(() -> !relay.instance().isReady());
        long dueNanos = System.nanoTime() + MIN_DRAIN_NANOS;
        relay.await(() -> System.nanoTime() - dueNanos > 0);
    }

    private static Socket connectWithSmallBuffer(RelayFixture relay) throws Exception {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(
                "127.0.0.1", relay.instance().server().callersAddress().getPort()));
        socket.setSoTimeout(20_000);
        return socket;
    }
}
