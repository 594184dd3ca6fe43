package org.verbenatray.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.verbenatray.instance.EventLoop;
import org.verbenatray.memory.MemoryAccount;
import org.verbenatray.platform.RelayFixture.ServerListing;
import org.verbenatray.platform.ScriptedServer.Script;
import org.verbenatray.servers.HttpTransport;
import org.verbenatray.time.Ticker;

/**
 * Callers that send large bodies slowly or read large responses late, many at once. Their bytes took the whole heap,
 * and the process then answered nothing, but did not end.
 */
public final class LargeBodiesTest {
    private static final long MAX_BYTES = 1_000_000;

    /** What responses to calls of the instance itself may take beyond the bound, as they cannot wait. */
    private static final int OWN_CALL_BYTES = 20_000;

    private static final int BODY_BYTES = 90_000;

    private static final int CALLERS = 40;

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    private static final Script OK = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "ok"));

    private static final Script LARGE = (request, connection, out) -> out.write(
            ScriptedServer.okResponse(request, request.line().contains("large") ? "x".repeat(BODY_BYTES) : "ok"));

    private static final Script LARGE_IN_CHUNKS = (request, connection, out) -> {
        if (!request.line().contains("large")) {
            out.write(ScriptedServer.okResponse(request, "ok"));
            return;
        }
        out.write(("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                        + "\r\nServer-Stamp: mark\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes());
        for (int part = 0; part < BODY_BYTES / 10_000; part++) {
            out.write(ScriptedServer.chunk("x".repeat(10_000)));
        }
        out.write(ScriptedServer.lastChunk());
    };

    private final ExecutorService readers = Executors.newCachedThreadPool();

    @DataProvider
    public Object[][] framings() {
        return new Object[][] {{"Content-Length: " + BODY_BYTES, ""}, {"Transfer-Encoding: chunked", "15f90\r\n"}};
    }

    @AfterClass
    public void stop() {
        readers.shutdownNow();
    }

    @Test(dataProvider = "framings")
    public void smallRequestsAreServedBesideHalfSentBodiesAndNoneOfThemIsLost(String framing, String chunkHead)
            throws Exception {
        MemoryAccount memory = MemoryAccount.bounded(MAX_BYTES);
        List<Socket> callers = new ArrayList<>();
        try (ScriptedServer server = ScriptedServer.start(OK);
                RelayFixture relay = start(memory, server)) {
            for (int number = 0; number < CALLERS; number++) {
                callers.add(relay.connect());
                RelayFixture.send(
                        callers.get(number),
                        head("/unsafe/x", number, framing) + chunkHead + "x".repeat(BODY_BYTES / 2));
            }
            for (int number = 0; number < 20; number++) {
                String response = relay.exchange(RelayFixture.postRequest("/unsafe/x", "small" + number, "", "b"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            Assert.assertTrue(memory.peakBytes() <= MAX_BYTES + OWN_CALL_BYTES, "peak: " + memory.peakBytes());
            Assert.assertTrue(memory.peakBytes() > MAX_BYTES / 4, "peak: " + memory.peakBytes());
            for (Socket caller : callers) {
                String rest = "x".repeat(BODY_BYTES - BODY_BYTES / 2);
                try {
                    RelayFixture.send(caller, chunkHead.isEmpty() ? rest : rest + "\r\n0\r\n\r\n");
                } catch (IOException e) {
                    // A caller whose request was refused writes into a closed connection.
                }
            }
            int served = 0;
            for (Socket caller : callers) {
                String response = readOrClosed(caller);
                served += response.startsWith("HTTP/1.1 200") ? 1 : 0;
                Assert.assertTrue(
                        response.startsWith("HTTP/1.1 200")
                                || response.startsWith("HTTP/1.1 503")
                                || response.equals("<closed>"),
                        response);
            }
            long large = server.requests().stream()
                    .filter(request -> request.body().length() == BODY_BYTES)
                    .count();
            Assert.assertTrue(served >= 4, "served: " + served);
            Assert.assertTrue(large == served || !framing.startsWith("Content"), "at the server: " + large);
            relay.await(() -> memory.retainedBytes() == 0);
        } finally {
            close(callers);
        }
    }

    @DataProvider
    public Object[][] largeResponses() {
        return new Object[][] {{LARGE}, {LARGE_IN_CHUNKS}};
    }

    @Test(dataProvider = "largeResponses")
    public void largeResponsesWaitAtTheirServersWhileCallersReadLate(Script script) throws Exception {
        MemoryAccount memory = MemoryAccount.bounded(MAX_BYTES);
        List<Socket> callers = new ArrayList<>();
        try (ScriptedServer server = ScriptedServer.start(script);
                RelayFixture relay = start(memory, server)) {
            for (int number = 0; number < CALLERS; number++) {
                callers.add(slowReader(relay));
                RelayFixture.send(callers.get(number), head("/unsafe/large", number, "Content-Length: 0"));
            }
            for (int number = 0; number < 20; number++) {
                String response = relay.exchange(RelayFixture.postRequest("/unsafe/x", "small" + number, "", "b"));
                Assert.assertTrue(response.startsWith("HTTP/1.1 200"), response);
            }
            Assert.assertTrue(memory.peakBytes() <= MAX_BYTES + OWN_CALL_BYTES, "peak: " + memory.peakBytes());
            List<CompletableFuture<Integer>> read = callers.stream()
                    .map(caller -> CompletableFuture.supplyAsync(() -> readWhole(caller), readers))
                    .toList();
            for (CompletableFuture<Integer> bytes : read) {
                Assert.assertEquals(bytes.get(), BODY_BYTES);
            }
            relay.await(() -> memory.retainedBytes() == 0);
        } finally {
            close(callers);
        }
    }

    /** The HTTP library kept the last response of each open connection, though its caller had read it. */
    @Test
    public void keptConnectionsRetainNoLargeResponse() throws Exception {
        int bytes = 1_000_000;
        Script large = (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "x".repeat(bytes)));
        List<Socket> callers = new ArrayList<>();
        try (ScriptedServer server = ScriptedServer.start(large);
                RelayFixture relay = start(MemoryAccount.bounded(64 * MAX_BYTES), server)) {
            long before = usedHeapBytes();
            for (int number = 0; number < CALLERS; number++) {
                callers.add(relay.connect());
                RelayFixture.send(callers.get(number), head("/unsafe/large", number, "Content-Length: 0"));
                Assert.assertEquals(readWhole(callers.get(number)), bytes);
            }
            long retained = usedHeapBytes() - before;
            Assert.assertTrue(retained < CALLERS * bytes / 4, "retained: " + retained);
        } finally {
            close(callers);
        }
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    @Test
    public void aCallerThatNeverReadsItsResponseIsCutAfterTheIdleLimit() throws Exception {
        MemoryAccount memory = MemoryAccount.bounded(64 * MAX_BYTES);
        Script huge =
                (request, connection, out) -> out.write(ScriptedServer.okResponse(request, "x".repeat(15_000_000)));
        try (ScriptedServer server = ScriptedServer.start(huge);
                RelayFixture relay = start(memory, server)) {
            relay.putConfiguration(
                    2, RelayFixture.configurationJson(2).replace("\"idleTimeoutMs\":15000", "\"idleTimeoutMs\":100"));
            relay.await(() -> relay.instance().readState().join().routesVersion() == 2);
            try (Socket caller = slowReader(relay)) {
                RelayFixture.send(caller, head("/unsafe/large", 1, "Content-Length: 0"));
                relay.await(() -> memory.peakBytes() > 10_000_000);
                relay.await(() -> retainedOnLoop(relay) == 0, TimeUnit.MINUTES.toSeconds(1));
                Assert.assertTrue(readWhole(caller) < 15_000_000);
            }
        }
    }

    /** Returns the bytes kept, between two steps of the instance. */
    private static long retainedOnLoop(RelayFixture relay) {
        return relay.instance().readState().join().memory().bytesByUse().values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }

    private static RelayFixture start(MemoryAccount memory, ScriptedServer server) throws Exception {
        EventLoop loop = EventLoop.start(Ticker.system(), memory, HttpTransport.ADMISSION_MILLIS);
        return RelayFixture.startReady(loop, ServerListing.plain("s1", server));
    }

    private static String head(String path, int number, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: id" + number + "\r\nDeadline-Ms: 4000\r\n"
                + framing + "\r\n\r\n";
    }

    /** Returns a connection whose caller has little room for what it has not read. */
    private static Socket slowReader(RelayFixture relay) throws IOException {
        Socket socket = relay.connect();
        socket.setReceiveBufferSize(16_384);
        return socket;
    }

    /** Reads a response of status 200 and returns the number of bytes of its body, up to the end of the connection. */
    private static int readWhole(Socket caller) {
        try {
            BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) in.read());
            }
            Matcher length = CONTENT_LENGTH.matcher(head);
            Assert.assertTrue(head.indexOf("HTTP/1.1 200") == 0 && length.find(), head.toString());
            return in.readNBytes(Integer.parseInt(length.group(1))).length;
        } catch (SocketException e) {
            // The connection was reset within the body.
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the response, or the bytes up to the end of the connection. */
    private static String readOrClosed(Socket caller) {
        try {
            return RelayFixture.readResponse(new BufferedInputStream(caller.getInputStream()));
        } catch (IOException e) {
            return "<closed>";
        }
    }

    private static void close(List<Socket> callers) throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
    }
}
