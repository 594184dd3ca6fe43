package org.verbenatray.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.verbenatray.log.RecordCodec;
import org.verbenatray.processes.Await;
import org.verbenatray.processes.HttpCaller;
import org.verbenatray.servers.GenerateRequest;
import org.verbenatray.standin.engine.EngineModelSpec;
import org.verbenatray.time.Ticker;

/** Tests for {@link EngineServer}. */
public final class EngineServerTest {
    private static final String MODEL = "model";
    private static final int ENDLESS_TOKENS = 1_000_000;
    private final HttpCaller caller = HttpCaller.withKey("");
    private final GatedTicker ticker = new GatedTicker();
    private EngineServer engine;
    private String address;

    @BeforeMethod
    public void start() {
        EngineModelSpec spec =
                new EngineModelSpec(20_000, 5, 0.1, 16, 2L * ENDLESS_TOKENS, EngineModelSpec.Limits.defaults());
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        engine = EngineServer.start("e1", anyPort, spec, Map.of(MODEL, "1"), false, ticker);
        engine.setFaults(EngineFaults.none().withRestartMillis(1));
        address = engine.address();
    }

    @AfterMethod
    public void stop() {
        ticker.open();
        engine.close();
    }

    @Test
    public void anEngineWhoseThreadIsHeldUpAtACrashComesBackAsTheNextIncarnation() {
        generate("open", ENDLESS_TOKENS);
        Await.until(() -> engine.generatedTokens() > 0);
        long crashed = engine.incarnation();
        ticker.close();
        engine.crash();
        Await.until(EngineServerTest::crashThreadWaits);
        ticker.open();
        Await.until(() -> engine.incarnation() != crashed);
        Await.until(() -> isComplete(generate("next", 1)));
        assertEquals(engine.incarnation(), crashed + 1);
        assertTrue(engine.acceptedDispatches() >= 2);
    }

    /** Returns whether the thread that restarts the engine does nothing until the engine's thread goes on. */
    private static boolean crashThreadWaits() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().equals("crash-e1"))
                .map(Thread::getState)
                .allMatch(state -> state == Thread.State.WAITING || state == Thread.State.TIMED_WAITING);
    }

    private static boolean isComplete(CompletableFuture<HttpResponse<String>> response) {
        return response.handle((answer, failure) -> failure == null && answer.statusCode() == 200)
                .join();
    }

    private CompletableFuture<HttpResponse<String>> generate(String dispatch, int tokens) {
        GenerateRequest request = new GenerateRequest(dispatch, MODEL, "prompt", tokens, 1, 0, 0, "");
        return caller.sendAsync("POST", address + "/generate", RecordCodec.encode(request));
    }

    /** The system's monotonic time, which a test withholds from those who ask for it. */
    private static final class GatedTicker implements Ticker {
        private volatile CountDownLatch gate = new CountDownLatch(0);

        @Override
        public long nanos() {
            try {
                gate.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return System.nanoTime();
        }

        /** Holds up each call from now on. */
        void close() {
            gate = new CountDownLatch(1);
        }

        /** Lets all calls return. */
        void open() {
            gate.countDown();
        }
    }
}
